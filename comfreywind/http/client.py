"""Calls other services over HTTP with httpcore."""

import gzip
import json
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import httpcore
import trio

from comfreywind.decisions.transfer_limit import CallProgress
from comfreywind.errors import CallNotPermittedError
from comfreywind.http.buffered_stream import BufferedStream, connect
from comfreywind.http.json_body import parse_json
from comfreywind.settings.address import Address

HeaderItems = list[tuple[bytes, bytes]]
Permit = Callable[[], bool]
_Send = Callable[[httpcore.AsyncHTTP11Connection], Awaitable[httpcore.Response]]
_NoteReceived = Callable[[int], None]
# Closing waits for nothing but the end of connections that may be silent.
CLOSE_LIMIT_S = 1.0
KEEP_IDLE_S = 30.0
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
        """Return the body parsed as JSON; raise ValueError if it isn't JSON or nested too deeply."""
        return parse_json(self.body)


@dataclass(frozen=True, slots=True)
class _Connection:
    protocol: httpcore.AsyncHTTP11Connection
    stream: BufferedStream


@dataclass(slots=True)
class _Pool:
    """Idle connections, how many calls there are now, and whether further calls may come."""

    slots: trio.Semaphore
    idle: list[_Connection] = field(default_factory=list)
    calls: int = 0
    retired: bool = False


class HttpClient:
    """Calls one address; each call has one total timeout.

    The timeout of a bulk read begins anew with each part of its answer. After a timeout further
    calls use new connections, because one that has gone silent for good would make them fail as
    well. Calls that are under way keep theirs: a slow service still answers.
    """

    def __init__(self, address: Address, timeout_s: float, connection_limit: int = 16) -> None:
        """Prepare a client; connections are opened when they are needed."""
        self._address = address
        self._origin = httpcore.Origin(b'http', address.host.encode(), address.port)
        self._timeout_s = timeout_s
        self._connection_limit = connection_limit
        self._pool = self._make_pool()

    async def call(
        self,
        method: str,
        path: str,
        document: object | None = None,
        headers: HeaderItems | None = None,
        permit: Permit | None = None,
        raw_body: bytes = b'',
        progress: CallProgress | None = None,
    ) -> HttpReply:
        """Return the reply; raise trio.TooSlowError or an httpcore error when there is none.

        A call may wait for a connection while its permission runs out, and the process may be
        paused meanwhile. So `permit` is asked once the connection is there, just before the call is
        sent; CallNotPermittedError is raised when it is False. The body is `document` as JSON, or
        `raw_body` as it is. `progress` tells meanwhile how far the answer has come, and whether the
        call is a bulk read.
        """
        body = raw_body if document is None else json.dumps(document).encode()
        all_headers = [*(headers or []), *COMMON_HEADERS]
        url = self._make_url(path)

        def send(connection: httpcore.AsyncHTTP11Connection) -> Awaitable[httpcore.Response]:
            return connection.request(method, url, headers=all_headers, content=body)

        progress = progress or CallProgress()
        progress.start(trio.current_time(), self._timeout_s, len(body))
        pool = self._pool
        pool.calls += 1
        try:
            with _limit_time(progress) as note_received:
                async with pool.slots:
                    response = await self._exchange(pool, send, permit, note_received)
        except trio.TooSlowError:
            self._retire(pool)
            raise
        finally:
            pool.calls -= 1
            await _close_unused(pool)
        return _make_reply(response)

    async def close(self) -> None:
        """Close all connections that are not in use; those in use close with their calls."""
        self._pool.retired = True
        await _close_idle(self._pool)

    def _make_url(self, path: str) -> httpcore.URL:
        host, port = self._origin.host, self._origin.port
        return httpcore.URL(scheme=b'http', host=host, port=port, target=path.encode('ascii'))

    async def _exchange(
        self, pool: _Pool, send: _Send, permit: Permit | None, note_received: _NoteReceived
    ) -> httpcore.Response:
        connection = await _take_idle(pool) or await self._connect()
        protocol = connection.protocol
        if permit is not None and not permit():
            await protocol.aclose()
            raise CallNotPermittedError('the permission ended before the call was sent')
        connection.stream.note_received = note_received
        try:
            return await send(protocol)
        finally:
            # httpcore closes a connection on which a call has failed.
            if protocol.is_idle():
                pool.idle.append(connection)

    async def _connect(self) -> _Connection:
        stream = await connect(self._address)
        protocol = httpcore.AsyncHTTP11Connection(self._origin, stream, KEEP_IDLE_S)
        return _Connection(protocol, stream)

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = self._make_pool()

    def _make_pool(self) -> _Pool:
        return _Pool(trio.Semaphore(self._connection_limit))


@contextmanager
def _limit_time(progress: CallProgress) -> Iterator[_NoteReceived]:
    """Raise trio.TooSlowError at the deadline; give what to call for the bytes of the answer."""
    scope = trio.CancelScope(deadline=progress.deadline_s)

    def note_received(size_bytes: int) -> None:
        progress.note_answer(size_bytes, trio.current_time())
        scope.deadline = progress.deadline_s

    with scope:
        yield note_received
    if scope.cancelled_caught:
        raise trio.TooSlowError


async def _take_idle(pool: _Pool) -> _Connection | None:
    """Return the connection used last, or None; those that the service has closed are dropped."""
    while pool.idle:
        connection = pool.idle.pop()
        if not connection.protocol.has_expired():
            return connection
        await connection.protocol.aclose()
    return None


async def _close_unused(pool: _Pool) -> None:
    """Close a retired pool after its last call."""
    if pool.retired and not pool.calls:
        await _close_idle(pool)


async def _close_idle(pool: _Pool) -> None:
    with trio.move_on_after(CLOSE_LIMIT_S, shield=True):
        while pool.idle:
            await pool.idle.pop().protocol.aclose()


def _make_reply(response: httpcore.Response) -> HttpReply:
    reply = HttpReply(response.status, list(response.headers), response.content)
    if reply.find_header(b'content-encoding') != b'gzip':
        return reply
    return HttpReply(reply.status, reply.headers, gzip.decompress(reply.body))
