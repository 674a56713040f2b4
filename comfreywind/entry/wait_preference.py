"""Reads the caller's `Prefer: wait` (RFC 7240 section 4.3)."""

import re

from comfreywind.entry.header_rules import join_headers
from comfreywind.http.asgi_types import HeaderList

WAIT = re.compile(
    r'(?:^|[,;])\s*wait\s*=\s*"?(\d{1,18})(\.\d{1,18})?"?\s*(?=[,;]|$)', re.IGNORECASE
)
# A caller that asks for more gets this; nothing waits for ever.
LONGEST_WAIT_S = 3600.0


def read_wait_s(headers: HeaderList, default_s: float) -> float:
    """Return the seconds the caller is willing to wait, at most `LONGEST_WAIT_S`.

    The first preference counts, as the RFC says. A malformed one is ignored like any unknown
    preference. 0 is taken at its word: the request is refused unless it can be answered at once.
    """
    preference = WAIT.search(join_headers(headers, b'prefer'))
    if preference is None:
        return default_s
    return min(LONGEST_WAIT_S, float(preference.group(1) + (preference.group(2) or '')))
