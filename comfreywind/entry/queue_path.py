"""Parses the request target of a caller."""

import re
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from comfreywind.http.asgi_types import Scope

# Servers must also accept the absolute form (RFC 9112 section 3.2.2).
ABSOLUTE_PREFIX_PATTERN = re.compile(b'^https?://[^/?#]*', re.IGNORECASE)
QUEUE_PATH_PATTERN = re.compile(b'^/queues/([^/]+)(/.*)?$', re.DOTALL)


@dataclass(frozen=True, slots=True)
class QueuePath:
    """The name of the queue, and the path and query for the target as unchanged bytes."""

    queue: str
    target_path: bytes


def split_queue_path(scope: Scope) -> QueuePath | None:
    """Return the parts of `/queues/{queue}/{path}`, or None for any other path.

    The raw path is split before it is decoded, so that an encoded slash does not end the name of
    the queue and the target gets the bytes that the caller sent.
    """
    raw_path: bytes = ABSOLUTE_PREFIX_PATTERN.sub(b'', scope['raw_path'])
    match = QUEUE_PATH_PATTERN.match(raw_path)
    if match is None:
        return None
    queue = unquote_to_bytes(match.group(1)).decode('utf-8', 'replace')
    path = match.group(2) or b'/'
    query: bytes = scope['query_string']
    return QueuePath(queue, b'?'.join((path, query)) if query else path)
