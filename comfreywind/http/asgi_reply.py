"""Sends replies over ASGI."""

import gzip
import json

from comfreywind.http.asgi_types import HeaderList, Scope, Send

# Smaller bodies gain nothing from compression.
GZIP_LIMIT_BYTES = 1_024


async def send_reply(send: Send, status: int, headers: HeaderList, body: bytes) -> None:
    """Send a whole reply with its length."""
    length = (b'content-length', str(len(body)).encode())
    await send({'type': 'http.response.start', 'status': status, 'headers': [*headers, length]})
    await send({'type': 'http.response.body', 'body': body})


async def send_json(
    send: Send, status: int, document: object, headers: HeaderList | None = None
) -> None:
    """Send a document as JSON."""
    body = json.dumps(document).encode()
    content_type = (b'content-type', b'application/json')
    await send_reply(send, status, [content_type, *(headers or [])], body)


async def send_gzip_json(
    scope: Scope, send: Send, document: object, headers: HeaderList | None = None
) -> None:
    """Send a document as JSON, compressed when it is large and the request accepts that."""
    body = json.dumps(document).encode()
    all_headers = [(b'content-type', b'application/json'), *(headers or [])]
    if len(body) >= GZIP_LIMIT_BYTES and (b'accept-encoding', b'gzip') in scope['headers']:
        body = gzip.compress(body, compresslevel=1)
        all_headers.append((b'content-encoding', b'gzip'))
    await send_reply(send, 200, all_headers, body)
