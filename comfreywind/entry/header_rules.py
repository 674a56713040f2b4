"""Which headers are passed on in each direction."""

from comfreywind.http.asgi_types import HeaderList

# RFC 9110 section 7.6.1: these belong to one connection.
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
# The entry sets these itself; date is set by the HTTP server. The length is set again, because a
# whole buffered body has one even when the target sent chunks.
ANSWER_HEADERS = frozenset(
    (b'comfreywind-outcome', b'x-request-id', b'date', b'server', b'content-length')
)


def select_request_headers(headers: HeaderList) -> HeaderList:
    """Return the caller's headers that go to the target."""
    dropped = CONNECTION_HEADERS | ENTRY_HEADERS | _read_connection_options(headers)
    return [(name, text) for name, text in headers if name.lower() not in dropped]


def select_answer_headers(headers: HeaderList) -> HeaderList:
    """Return the target's headers that go to the caller."""
    dropped = CONNECTION_HEADERS | ANSWER_HEADERS | _read_connection_options(headers)
    return [(name.lower(), text) for name, text in headers if name.lower() not in dropped]


def find_header(headers: HeaderList, name: bytes) -> str:
    """Return the first header of that lower-case name, or an empty text."""
    for header_name, text in headers:
        if header_name.lower() == name:
            return text.decode('latin-1')
    return ''


def list_headers(headers: HeaderList, name: bytes) -> list[str]:
    """Return the texts of all headers of that lower-case name."""
    return [text.decode('latin-1') for header_name, text in headers if header_name.lower() == name]


def join_headers(headers: HeaderList, name: bytes) -> str:
    """Return all headers of that lower-case name as one list (RFC 9110 section 5.3)."""
    return ', '.join(list_headers(headers, name))


def find_framing_conflict(headers: HeaderList) -> str:
    """Return why the length of the body is ambiguous, or an empty text.

    A request with both framings is how requests are smuggled past a proxy (RFC 9112 section 6.1).
    """
    if not list_headers(headers, b'transfer-encoding'):
        return ''
    if list_headers(headers, b'content-length'):
        return 'Transfer-Encoding and Content-Length must not come together'
    return ''


def _read_connection_options(headers: HeaderList) -> frozenset[bytes]:
    return frozenset(
        option.strip().lower()
        for name, text in headers
        if name.lower() == b'connection'
        for option in text.split(b',')
    )
