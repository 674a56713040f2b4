"""Reads request bodies within a limit."""

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
    chunks: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise BodyIncompleteError('the caller disconnected while it was sending the body')
        chunk = message.get('body', b'')
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise BodyTooLargeError(f'the body is larger than {limit_bytes} bytes')
        chunks.append(chunk)
        if not message.get('more_body', False):
            return b''.join(chunks)


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
