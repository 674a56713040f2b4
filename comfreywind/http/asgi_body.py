"""Reads request bodies within a limit."""

from collections.abc import Callable
from typing import Any

from comfreywind.errors import ComfreywindError
from comfreywind.http.asgi_types import Receive
from comfreywind.http.json_body import parse_json


class BodyTooLargeError(ComfreywindError):
    """The request body is larger than the limit."""


class BodyIncompleteError(ComfreywindError):
    """The caller went away before the whole body had arrived."""


class BodyMalformedError(ComfreywindError):
    """The body is not the JSON object that it should be."""


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Return the whole request body.

    Raises BodyTooLargeError past `limit_bytes`, BodyIncompleteError when the caller disconnects.
    """
    gathered = bytearray()
    await _read_chunks(receive, limit_bytes, gathered.extend)
    return bytes(gathered)


async def discard_body(receive: Receive, limit_bytes: int) -> bytes:
    """Read the whole request body and return nothing of it; raise as `read_body` does."""
    await _read_chunks(receive, limit_bytes, len)
    return b''


async def _read_chunks(
    receive: Receive, limit_bytes: int, use_chunk: Callable[[bytes], object]
) -> None:
    size_bytes = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise BodyIncompleteError('the caller disconnected while it was sending the body')
        chunk = message.get('body', b'')
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise BodyTooLargeError(f'the body is larger than {limit_bytes} bytes')
        use_chunk(chunk)
        if not message.get('more_body', False):
            return


async def read_json(receive: Receive, limit_bytes: int) -> dict[str, Any]:
    """Return the body as a JSON object; raise BodyMalformedError for anything else."""
    body = await read_body(receive, limit_bytes)
    try:
        document = parse_json(body or b'{}')
    except ValueError as error:
        raise BodyMalformedError(f'the body is not JSON: {error}') from error
    if not isinstance(document, dict):
        raise BodyMalformedError('the body is not a JSON object')
    return document
