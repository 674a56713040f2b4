"""Shares the processor among the large bodies that are being read."""

import trio

# Large bodies together take up to this ratio of a core.
PROCESSOR_RATIO = 0.25


class ParsingPace:
    """Makes the reader of a large body wait in proportion to what its parsing has taken.

    A body in chunks of one byte takes a second to parse. Some of them at a time left nothing for other
    callers and for the holder's own work. Bodies that are cheap to parse hardly wait.
    """

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiting = 0

    async def wait(self, parsing_s: float) -> None:
        """Wait after a part of a body whose parsing has taken that long."""
        self._waiting += 1
        try:
            await trio.sleep(parsing_s * self._waiting / PROCESSOR_RATIO)
        finally:
            self._waiting -= 1
