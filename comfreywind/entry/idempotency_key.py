"""Reads the `Idempotency-Key` header (draft-ietf-httpapi-idempotency-key-header)."""

import hashlib
import re

from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.caller_request import CallerRequest
from comfreywind.entry.header_rules import list_headers
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.http.asgi_types import HeaderList

# The draft asks for a string in quotes; many clients leave the quotes out.
KEY = re.compile(r'^(?:"([!#-\[\]-~]{1,255})"|([!#-\[\]-~]{1,255}))$')


def read_idempotency_key(headers: HeaderList) -> str:
    """Return the key without quotes, or an empty text; raise RefusalError for a malformed one."""
    texts = list_headers(headers, b'idempotency-key')
    if not texts:
        return ''
    key = KEY.match(texts[0].strip())
    if key is None or len(texts) > 1:
        detail = 'Idempotency-Key is not one string of 1 to 255 visible ASCII letters'
        raise RefusalError(Refusal(RefusalReason.HEADER_MALFORMED, detail))
    return key.group(1) or key.group(2)


def find_fingerprint(request: CallerRequest, queue: str) -> str:
    """Return a hash of what a repeat with the same key must have in common with the request."""
    parts = (request.method.encode(), queue.encode(), request.target_path, request.body)
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
