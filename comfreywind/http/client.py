"""Calls other services over HTTP with httpcore."""

import gzip
import json
from dataclasses import dataclass
from typing import Any

import httpcore
import trio

from comfreywind.settings.address import Address

HeaderItems = list[tuple[bytes, bytes]]
# Closing waits for nothing but the end of connections that may be silent.
CLOSE_LIMIT_S = 1.0
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


@dataclass(slots=True)
class _Pool:
    """Connections, how many calls use them now, and whether further calls may."""

    connections: httpcore.AsyncConnectionPool
    calls: int = 0
    retired: bool = False


class HttpClient:
    """Calls one address; each call has one total timeout.

    After a timeout further calls use new connections, because one that has gone silent for good
    would make them fail as well. Calls that are under way keep theirs: a slow service still answers.
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
        pool.calls += 1
        try:
            with trio.fail_after(self._timeout_s):
                response = await pool.connections.request(
                    method, f'{self._base_url}{path}', headers=all_headers, content=body
                )
        except trio.TooSlowError:
            self._retire(pool)
            raise
        finally:
            pool.calls -= 1
            await _close_unused(pool)
        return _make_reply(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.connections.aclose()

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = self._make_pool()

    def _make_pool(self) -> _Pool:
        return _Pool(
            httpcore.AsyncConnectionPool(
                max_connections=self._connection_limit, keepalive_expiry=30
            )
        )


async def _close_unused(pool: _Pool) -> None:
    """Close a retired pool after its last call."""
    if not pool.retired or pool.calls:
        return
    with trio.move_on_after(CLOSE_LIMIT_S, shield=True):
        await pool.connections.aclose()


def _make_reply(response: httpcore.Response) -> HttpReply:
    reply = HttpReply(response.status, list(response.headers), response.content)
    if reply.find_header(b'content-encoding') != b'gzip':
        return reply
    return HttpReply(reply.status, reply.headers, gzip.decompress(reply.body))
