"""Calls other services over HTTP with httpcore."""

import gzip
import json
from dataclasses import dataclass
from typing import Any

import httpcore
import trio

from comfreywind.settings.address import Address

HeaderItems = list[tuple[bytes, bytes]]
COMMON_HEADERS = ((b'content-type', b'application/json'), (b'accept-encoding', b'gzip'))


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole reply."""

    status: int
    headers: HeaderItems
    body: bytes

    def find_header(self, name: bytes) -> bytes:
        """Return the first header of that lower-case name, or an empty text."""
        for header_name, text in self.headers:
            if header_name.lower() == name:
                return text
        return b''

    def read_json(self) -> Any:
        """Return the body parsed as JSON; raise ValueError when it is not JSON."""
        return json.loads(self.body)


class HttpClient:
    """Calls one address; each call has one total timeout.

    A call that fails by timeout drops the idle connections of the pool, because a connection that
    has gone silent for good would make the next calls fail as well.
    """

    def __init__(self, address: Address, timeout_s: float, connection_limit: int = 16) -> None:
        """Prepare a client; connections are opened when they are needed."""
        self._base_url = f'http://{address}'
        self._timeout_s = timeout_s
        self._connection_limit = connection_limit
        self._pool = self._make_pool()

    async def call(
        self,
        method: str,
        path: str,
        document: object | None = None,
        headers: HeaderItems | None = None,
    ) -> HttpReply:
        """Return the reply; raise trio.TooSlowError or an httpcore error when there is none."""
        body = b'' if document is None else json.dumps(document).encode()
        all_headers = [*(headers or []), *COMMON_HEADERS]
        pool = self._pool
        try:
            with trio.fail_after(self._timeout_s):
                response = await pool.request(
                    method, f'{self._base_url}{path}', headers=all_headers, content=body
                )
        except trio.TooSlowError:
            await self._replace_pool(pool)
            raise
        return _make_reply(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _replace_pool(self, silent_pool: httpcore.AsyncConnectionPool) -> None:
        if self._pool is not silent_pool:
            return
        self._pool = self._make_pool()
        with trio.move_on_after(1):
            await silent_pool.aclose()

    def _make_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=self._connection_limit, keepalive_expiry=30
        )


def _make_reply(response: httpcore.Response) -> HttpReply:
    reply = HttpReply(response.status, list(response.headers), response.content)
    if reply.find_header(b'content-encoding') != b'gzip':
        return reply
    return HttpReply(reply.status, reply.headers, gzip.decompress(reply.body))
