"""Parses the `wait` preference of the `Prefer` header (RFC 7240 section 4.3)."""

import re

from comfreywind.entry.header_rules import join_headers
from comfreywind.http.asgi_types import HeaderList

WAIT_PATTERN = re.compile(
    r'(?:^|[,;])\s*wait\s*=\s*"?(\d{1,18})(\.\d{1,18})?"?\s*(?=[,;]|$)', re.IGNORECASE
)
# Upper limit for the requested wait, so that no request waits indefinitely.
MAX_WAIT_S = 3600.0


def read_wait_s(headers: HeaderList, default_s: float) -> float:
    """Return how many seconds the caller is willing to wait, at most `MAX_WAIT_S`.

    If the preference occurs more than once, the first one applies, as the RFC requires. A malformed
    one is ignored like any unknown preference. 0 is valid and means that the caller does not wait.
    """
    preference = WAIT_PATTERN.search(join_headers(headers, b'prefer'))
    if preference is None:
        return default_s
    return min(MAX_WAIT_S, float(preference.group(1) + (preference.group(2) or '')))
