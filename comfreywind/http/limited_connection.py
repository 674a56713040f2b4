"""The HTTP/1.1 parser of a connection, with limits on a head and larger pieces of a body."""

import re
import time
from collections.abc import Callable

import h11

HEAD_LIMIT_BYTES = 32_768
# Callers of the users send below 20; each field takes up to 300 bytes once it is parsed.
FIELD_LIMIT = 100
# Incomplete bytes that may be in the buffer within a body: the size of a chunk, or trailing fields.
FRAMING_LIMIT_BYTES = 4_096
# Pieces that become one. Parsing that many chunks of one byte takes about a millisecond, in which
# nothing else runs.
GATHERED_PIECES = 128
HEAD_END = re.compile(rb'\n\r?\n')

Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class LimitedConnection(h11.Connection):
    """A parser that refuses heads of too many fields before it parses them.

    It also joins the pieces of a body that are there already. A body in chunks of one byte would
    cost a message and several wake-ups for each byte. `note_request` is called when a request has
    arrived whole.
    """

    def __init__(self, note_request: Callable[[], None]) -> None:
        """Parse requests."""
        super().__init__(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT_BYTES)
        self._note_request = note_request
        self._end: h11.EndOfMessage | None = None
        self._body_bytes = 0
        self._parsing_s: float = 0

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that were received and not parsed yet."""
        return len(self.trailing_data[0])

    @property
    def held_bytes(self) -> int:
        """The bytes of the present request that are in memory, and those of later ones."""
        return self._body_bytes + self.buffered_bytes

    def next_event(self) -> Event:
        """Return the next part of a request; raise h11.RemoteProtocolError beyond a limit."""
        if self._end is not None:
            end = self._end
            self._end = None
            return end
        if self.their_state is h11.IDLE:
            _check_head(self.trailing_data[0])
        event = self._parse_event()
        if isinstance(event, h11.Data):
            return self._gather(event)
        if event is h11.NEED_DATA and self.their_state is h11.SEND_BODY:
            self._check_framing()
        return event

    def take_parsing_s(self) -> float:
        """Return the time that parsing bodies has taken since the last call."""
        parsing_s = self._parsing_s
        self._parsing_s = 0
        return parsing_s

    def start_next_cycle(self) -> None:
        """Prepare for the next request."""
        self._end = None
        self._body_bytes = 0
        super().start_next_cycle()

    def _parse_event(self) -> Event:
        event = h11.Connection.next_event(self)
        if isinstance(event, h11.EndOfMessage):
            self._note_request()
        return event

    def _gather(self, first: h11.Data) -> h11.Data:
        """Return the data of this piece and of those that follow it in the buffer."""
        started_s = time.perf_counter()
        gathered = bytearray(first.data)
        for _ in range(GATHERED_PIECES):
            try:
                event = self._parse_event()
            except h11.RemoteProtocolError:
                # Raised again by the next call, after these data have been handed on.
                break
            if not isinstance(event, h11.Data):
                # The other values are found again by the next call.
                self._end = event if isinstance(event, h11.EndOfMessage) else None
                break
            gathered += event.data
        self._body_bytes += len(gathered)
        self._parsing_s += time.perf_counter() - started_s
        return h11.Data(data=bytes(gathered))

    def _check_framing(self) -> None:
        if self.buffered_bytes > FRAMING_LIMIT_BYTES:
            raise h11.RemoteProtocolError('the trailing fields are too long', error_status_hint=431)


def _check_head(received: bytes) -> None:
    """Raise h11.RemoteProtocolError if a head, or what there is of it, can't be served."""
    end = HEAD_END.search(received)
    length = len(received) if end is None else end.end()
    if length > HEAD_LIMIT_BYTES or received.count(b'\n', 0, length) > FIELD_LIMIT + 2:
        raise h11.RemoteProtocolError('the head is too long', error_status_hint=431)
