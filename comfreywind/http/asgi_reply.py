"""Sends replies over ASGI."""

import json

from comfreywind.http.asgi_types import HeaderList, Send


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
