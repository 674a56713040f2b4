"""Reads the `Idempotency-Key` header (draft-ietf-httpapi-idempotency-key-header)."""

import hashlib
import re

from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.caller_request import CallerRequest
from comfreywind.entry.header_rules import list_headers
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.http.asgi_types import HeaderList

# The draft requires a quoted string; many clients leave the quotes out.
KEY_PATTERN = re.compile(r'^(?:"([!#-\[\]-~]{1,255})"|([!#-\[\]-~]{1,255}))$')


def read_idempotency_key(headers: HeaderList) -> str:
    """Return the key without quotes, or an empty string if there is no such header.

    Raises RefusalError for a malformed key or more than one.
    """
    texts = list_headers(headers, b'idempotency-key')
    if not texts:
        return ''
    key = KEY_PATTERN.match(texts[0].strip())
    if key is None or len(texts) > 1:
        detail = 'Idempotency-Key is not one string of 1 to 255 visible ASCII letters'
        raise RefusalError(Refusal(RefusalReason.HEADER_MALFORMED, detail))
    return key.group(1) or key.group(2)


def compute_fingerprint(request: CallerRequest, queue: str) -> str:
    """Return a hash of the method, queue, path and body, which a retry must have in common."""
    parts = (request.method.encode(), queue.encode(), request.target_path, request.body)
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
