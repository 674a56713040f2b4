"""Selects the headers that are forwarded in each direction."""

from comfreywind.http.asgi_types import HeaderList

# Hop-by-hop headers, which must not be forwarded (RFC 9110 section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# Request headers that the entry handles or sets itself.
ENTRY_HEADERS = frozenset(
    (
        b'authorization',
        b'host',
        b'content-length',
        b'expect',
        b'comfreywind-outcome',
        b'x-request-id',
        b'comfreywind-team',
        b'comfreywind-start-before',
        b'comfreywind-run-until',
    )
)
# Response headers that the entry sets itself; its HTTP server sets date. Content-Length is set
# anew, because a completely buffered body has a known length even if the target sent chunks.
ANSWER_HEADERS = frozenset(
    (b'comfreywind-outcome', b'x-request-id', b'date', b'server', b'content-length')
)


def select_request_headers(headers: HeaderList) -> HeaderList:
    """Return the caller's headers that are forwarded to the target."""
    dropped = CONNECTION_HEADERS | ENTRY_HEADERS | _parse_connection_options(headers)
    return [(name, text) for name, text in headers if name.lower() not in dropped]


def select_answer_headers(headers: HeaderList) -> HeaderList:
    """Return the target's headers that are forwarded to the caller."""
    dropped = CONNECTION_HEADERS | ANSWER_HEADERS | _parse_connection_options(headers)
    return [(name.lower(), text) for name, text in headers if name.lower() not in dropped]


def find_header(headers: HeaderList, name: bytes) -> str:
    """Return the first value of the header with that lower-case name, or an empty string."""
    for header_name, text in headers:
        if header_name.lower() == name:
            return text.decode('latin-1')
    return ''


def list_headers(headers: HeaderList, name: bytes) -> list[str]:
    """Return all values of the header with that lower-case name."""
    return [text.decode('latin-1') for header_name, text in headers if header_name.lower() == name]


def join_headers(headers: HeaderList, name: bytes) -> str:
    """Return all values of that lower-case name as one list (RFC 9110 section 5.3)."""
    return ', '.join(list_headers(headers, name))


def detect_framing_conflict(headers: HeaderList) -> str:
    """Return why the length of the body is ambiguous, or an empty string.

    Requests with both headers can be used for request smuggling (RFC 9112 section 6.1).
    """
    if not list_headers(headers, b'transfer-encoding'):
        return ''
    if list_headers(headers, b'content-length'):
        return 'Transfer-Encoding and Content-Length must not come together'
    return ''


def _parse_connection_options(headers: HeaderList) -> frozenset[bytes]:
    return frozenset(
        option.strip().lower()
        for name, text in headers
        if name.lower() == b'connection'
        for option in text.split(b',')
    )
