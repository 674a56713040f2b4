"""What the handling of a caller's request has waited for."""

from itertools import pairwise


class CallTrace:
    """Keeps the steps of one call with the times at which they began, on the steady clock."""

    def __init__(self) -> None:
        """Start without steps."""
        self._steps: list[tuple[str, float]] = []

    def begin(self, awaited: str, now_s: float) -> None:
        """Note that the call waits for something else from now on."""
        self._steps.append((awaited, now_s))

    def describe(self, now_s: float) -> str:
        """Return what the call has waited for and how long, in order, up to now."""
        ended = [*self._steps, ('', now_s)]
        parts = [
            f'{awaited} {end_s - begin_s:.2f} s'
            for (awaited, begin_s), (_, end_s) in pairwise(ended)
        ]
        return ', '.join(parts) or 'nothing'
