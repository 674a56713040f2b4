"""One call to a service of the platform, with its failures as one error type."""

import httpcore
import trio

from comfreywind.errors import StoreUnavailableError
from comfreywind.http.client import HeaderItems, HttpClient, HttpReply

LOWEST_SERVER_ERROR = 500
CALL_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
    OSError,
)


async def call_store(
    client: HttpClient,
    method: str,
    path: str,
    document: object | None = None,
    headers: HeaderItems | None = None,
) -> HttpReply:
    """Return the reply; raise StoreUnavailableError when there is none or a server error.

    After the error, a write may or may not have taken effect.
    """
    try:
        reply = await client.call(method, path, document, headers)
    except CALL_FAILURES as error:
        raise StoreUnavailableError(f'{method} {path}: {error!r}') from error
    if reply.status >= LOWEST_SERVER_ERROR:
        raise StoreUnavailableError(f'{method} {path}: status {reply.status}')
    return reply
