"""Splits the request target of a caller."""

import re
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from comfreywind.http.asgi_types import Scope

# The absolute form must be accepted as well (RFC 9112 section 3.2.2).
ABSOLUTE_PREFIX = re.compile(b'^https?://[^/?#]*', re.IGNORECASE)
QUEUE_PATH = re.compile(b'^/queues/([^/]+)(/.*)?$', re.DOTALL)


@dataclass(frozen=True, slots=True)
class QueuePath:
    """The queue's name and the path with query for the target, its bytes unchanged."""

    queue: str
    target_path: bytes


def split_queue_path(scope: Scope) -> QueuePath | None:
    """Return the parts of `/queues/{queue}/{path}`, or None for any other path.

    The raw path is split before it is decoded, so an encoded slash never ends the queue's name, and
    the target gets the same bytes that the caller sent.
    """
    raw_path: bytes = ABSOLUTE_PREFIX.sub(b'', scope['raw_path'])
    match = QUEUE_PATH.match(raw_path)
    if match is None:
        return None
    queue = unquote_to_bytes(match.group(1)).decode('utf-8', 'replace')
    path = match.group(2) or b'/'
    query: bytes = scope['query_string']
    return QueuePath(queue, b'?'.join((path, query)) if query else path)
