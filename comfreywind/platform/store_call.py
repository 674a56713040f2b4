"""Calls a service of the platform and reports all failures as one error type."""

import httpcore
import trio

from comfreywind.errors import StoreUnavailableError
from comfreywind.http.client import HeaderItems, HttpClient, HttpReply

LOWEST_SERVER_ERROR = 500
# What a call of HttpClient raises when there is no reply.
CALL_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
    OSError,
)
# What decoding a reply in an unexpected form raises.
DECODING_ERRORS = (ValueError, LookupError, TypeError, ArithmeticError, AttributeError)


async def call_store(
    client: HttpClient,
    method: str,
    path: str,
    document: object | None = None,
    headers: HeaderItems | None = None,
) -> HttpReply:
    """Return the reply; raise StoreUnavailableError without one or for a 5xx status.

    After that error, a write may or may not have taken effect.
    """
    try:
        reply = await client.call(method, path, document, headers)
    except CALL_FAILURES as error:
        raise StoreUnavailableError(f'{method} {path}: {error!r}') from error
    if reply.status >= LOWEST_SERVER_ERROR:
        raise StoreUnavailableError(f'{method} {path}: status {reply.status}')
    return reply
