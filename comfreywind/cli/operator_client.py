"""Calls an entry's operator side from the command line."""

import json
from typing import Any

import httpcore

from comfreywind.errors import BundleError, ComfreywindError, OperationRefusedError, PlatformError

TIMEOUT_S = 10
STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
ERROR_TYPES: dict[int, type[ComfreywindError]] = {
    400: BundleError,
    401: OperationRefusedError,
    404: OperationRefusedError,
    409: OperationRefusedError,
    503: PlatformError,
}


def call_operator(
    entry_address: str, token: str, method: str, path: str, document: object | None = None
) -> Any:
    """Return the JSON reply; raise the error that stands for the status."""
    headers = [
        (b'authorization', f'Bearer {token}'.encode()),
        (b'content-type', b'application/json'),
    ]
    body = b'' if document is None else json.dumps(document).encode()
    timeouts = {name: TIMEOUT_S for name in ('connect', 'read', 'write', 'pool')}
    try:
        reply = httpcore.request(
            method,
            f'http://{entry_address}{path}',
            headers=headers,
            content=body,
            extensions={'timeout': timeouts},
        )
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        raise PlatformError(f"the entry at {entry_address} can't be reached: {error}") from error
    reply_document = json.loads(reply.content or b'{}')
    if reply.status >= STATUS_BAD_REQUEST:
        error_type = ERROR_TYPES.get(reply.status, ComfreywindError)
        raise error_type(str(reply_document.get('error', f'status {reply.status}')))
    return reply_document


def describe_confirmations(reply: Any) -> str:
    """Return which other members have confirmed a change and which have not."""
    confirmed = ', '.join(reply['confirmed']) or 'no other member'
    unconfirmed = ', '.join(reply['unconfirmed']) or 'none'
    return f'confirmed by {confirmed}; not confirmed: {unconfirmed}'
