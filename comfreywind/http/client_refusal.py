"""What a client is told whose connection is closed."""

from comfreywind.decisions.clients.client_phase import ClientPhase
from comfreywind.http.close_reason import CloseReason

# In these phases nothing has been done for the request, so a refusal is true.
REFUSED_PHASES = frozenset((ClientPhase.HEAD, ClientPhase.BODY))
TIME_STATUS = b'408 Request Timeout'
FULL_STATUS = b'503 Service Unavailable'
RETRY_AFTER = b'retry-after: 1\r\n'


def make_refusal(phase: ClientPhase, reason: CloseReason) -> bytes:
    """Return a whole reply, or nothing if the client has no request that could be refused."""
    if phase not in REFUSED_PHASES:
        return b''
    if reason is CloseReason.TIME:
        return _make_reply(TIME_STATUS, b'')
    return _make_reply(FULL_STATUS, RETRY_AFTER)


def make_connection_refusal() -> bytes:
    """Return the reply to a client whose connection is not taken."""
    return _make_reply(FULL_STATUS, RETRY_AFTER)


def _make_reply(status: bytes, fields: bytes) -> bytes:
    return b'HTTP/1.1 %b\r\nconnection: close\r\ncontent-length: 0\r\n%b\r\n' % (status, fields)
