"""A caller of the loopback fleet."""

from dataclasses import dataclass
from typing import Any

import httpcore

TIMEOUT_S = 30


@dataclass(frozen=True, slots=True)
class CallerReply:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Return the outcome that the response states."""
        return self.headers.get('comfreywind-outcome', '')


def call_entry(
    address: str,
    path: str,
    key: str = '',
    method: str = 'GET',
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> CallerReply:
    """Send one request on a connection of its own and return the reply."""
    all_headers = dict(headers or {})
    if key:
        all_headers['authorization'] = f'Bearer {key}'
    timeouts = {name: TIMEOUT_S for name in ('connect', 'read', 'write', 'pool')}
    reply = httpcore.request(
        method,
        f'http://{address}{path}',
        headers=[(name.encode(), text.encode()) for name, text in all_headers.items()],
        content=body,
        extensions={'timeout': timeouts},
    )
    return CallerReply(reply.status, _decode_headers(reply.headers), reply.content)


def _decode_headers(headers: Any) -> dict[str, str]:
    return {name.decode().lower(): text.decode('latin-1') for name, text in headers}
