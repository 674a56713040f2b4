"""Follows how far the present request of a connection has come."""

from comfreywind.decisions.clients.client_activity import ClientActivity
from comfreywind.decisions.clients.client_phase import EMPTY_PHASES, ClientPhase


class ConnectionProgress:
    """The phase of a connection and since when it lasts; the caller gives the time."""

    def __init__(self, now_s: float) -> None:
        """Start with a connection that has sent nothing."""
        self._phase = ClientPhase.SILENT
        self._since_s = now_s
        self._sending_since_s: float | None = None
        self._received_bytes = 0
        self._sent_ahead = False
        self.replied = False
        self.ahead_count = 0

    @property
    def phase(self) -> ClientPhase:
        """What the connection waits for."""
        if self._sending_since_s is not None:
            return ClientPhase.REPLY
        if self._phase is ClientPhase.SERVED and self._sent_ahead:
            return ClientPhase.AHEAD
        return self._phase

    def note_received(self, size_bytes: int, now_s: float) -> None:
        """Note bytes that have come; the first ones begin a request.

        Those that come before the reply to the present one were sent ahead. A client that has read
        the reply may send the next request before `note_served`.
        """
        self._received_bytes += size_bytes
        if self._phase is ClientPhase.SERVED and not self.replied:
            self._sent_ahead = True
        if self._phase in EMPTY_PHASES:
            self._enter(ClientPhase.HEAD, now_s)

    def note_head(self, now_s: float) -> None:
        """Note that the head of a request is there."""
        self._enter(ClientPhase.BODY, now_s)

    def note_request(self, now_s: float, further_bytes: int) -> None:
        """Note that a request is there whole, and how many bytes have come after it."""
        self._sent_ahead = further_bytes > 0 and not self.replied
        self._enter(ClientPhase.SERVED, now_s)

    def note_reply(self) -> None:
        """Note that the reply to the present request begins."""
        self.replied = True

    def note_served(self, received_bytes: int, now_s: float) -> None:
        """Note the end of a request; some bytes of the next one may have come already."""
        self.ahead_count = self.ahead_count + 1 if self._sent_ahead else 0
        self._sent_ahead = False
        self.replied = False
        self._received_bytes = received_bytes
        self._enter(ClientPhase.HEAD if received_bytes else ClientPhase.IDLE, now_s)

    def note_sending(self, now_s: float) -> None:
        """Note that something is being sent."""
        self._sending_since_s = now_s

    def note_sent(self) -> None:
        """Note that the client has taken all that was sent."""
        self._sending_since_s = None

    def describe(self, now_s: float, held_bytes: int) -> ClientActivity:
        """Return the phase, its age and the bytes of the request."""
        since_s = self._since_s if self._sending_since_s is None else self._sending_since_s
        return ClientActivity(self.phase, now_s - since_s, self._received_bytes, held_bytes)

    def _enter(self, phase: ClientPhase, now_s: float) -> None:
        self._phase = phase
        self._since_s = now_s
