"""Checks the form of a caller's request before anything else looks at it."""

import re

from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.header_rules import find_framing_conflict
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.http.asgi_types import Scope

REQUEST_ID = re.compile(r'[A-Za-z0-9._:-]{1,128}\Z')
HTTP_VERSION = '1.1'
# CONNECT asks for a tunnel and TRACE echoes the headers that the entry adds.
METHODS_REFUSED = frozenset(('CONNECT', 'TRACE'))


def check_request(scope: Scope, request_id: str) -> None:
    """Raise RefusalError for a request that is not forwarded whatever it asks for.

    HTTP/1.0 has no chunked coding: its bodies may end with the connection, so that a cut answer
    would look complete. HTTP/2 was never offered, but the server accepts it unasked.
    """
    if scope['http_version'] != HTTP_VERSION:
        raise RefusalError(Refusal(RefusalReason.VERSION_UNSUPPORTED, scope['http_version']))
    if scope['method'] in METHODS_REFUSED:
        raise RefusalError(Refusal(RefusalReason.METHOD_NOT_ALLOWED, scope['method']))
    conflict = find_framing_conflict(scope['headers'])
    if not conflict and not REQUEST_ID.match(request_id):
        conflict = 'X-Request-ID is not 1 to 128 plain letters'
    if conflict:
        raise RefusalError(Refusal(RefusalReason.HEADER_MALFORMED, conflict))
