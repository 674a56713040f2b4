"""Checks the form of a caller's request before it is processed."""

import re

from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.header_rules import detect_framing_conflict
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.http.asgi_types import Scope

REQUEST_ID_PATTERN = re.compile(r'[A-Za-z0-9._:-]{1,128}\Z')
HTTP_VERSION = '1.1'
# CONNECT would open a tunnel; TRACE would show callers the headers that the entry adds.
FORBIDDEN_METHODS = frozenset(('CONNECT', 'TRACE'))


def check_request(scope: Scope, request_id: str) -> None:
    """Raise RefusalError if the form of the request is not supported.

    HTTP/1.0 is rejected: it has no chunked coding, its bodies may end with the connection, and a
    truncated answer would look complete. HTTP/2 is rejected because the entry does not offer it,
    although the server accepts it.
    """
    if scope['http_version'] != HTTP_VERSION:
        raise RefusalError(Refusal(RefusalReason.VERSION_UNSUPPORTED, scope['http_version']))
    if scope['method'] in FORBIDDEN_METHODS:
        raise RefusalError(Refusal(RefusalReason.METHOD_NOT_ALLOWED, scope['method']))
    conflict = detect_framing_conflict(scope['headers'])
    if not conflict and not REQUEST_ID_PATTERN.match(request_id):
        conflict = 'X-Request-ID is not 1 to 128 plain letters'
    if conflict:
        raise RefusalError(Refusal(RefusalReason.HEADER_MALFORMED, conflict))
