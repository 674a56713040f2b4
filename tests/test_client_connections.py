"""Single requests at the limits are served, and those beyond them get the reply that fits."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio
import trio.testing

from bench.job_fleet import HOST, KEY, PREFIX, QUEUE_HOST, JobFleet, run_job_fleet
from bench.ports import PORTS
from comfreywind.decisions.clients.client_budget import PortBudget
from comfreywind.decisions.clients.time_limits import AHEAD_LIMIT, TimeLimits
from comfreywind.http import client_port
from comfreywind.http.asgi_body import read_body
from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import Receive, Scope, Send
from comfreywind.http.client_port import ClientPort
from comfreywind.http.refusal_count import RefusalCount
from comfreywind.http.server import serve_app
from comfreywind.metrics import NoMetrics
from comfreywind.node.ready_app import ReadyApp
from comfreywind.settings.address import Address

BODY_BYTES = 262_144
JOB_ID = '00000000000000b1'
JOB = json.dumps({'steps': [{'count': 1, 'cpu': 1}]}).encode()
LIMIT_S = 10
SMALL = PortBudget(connections=4, held_bytes=600_000)
SHORT = TimeLimits(head_s=0.3, body_s=0.3, reply_s=0.3)


def make_head(fields: str, method: str = 'POST', path: str = f'{PREFIX}{JOB_ID}') -> bytes:
    """Return the head of a request."""
    start = f'{method} {path} HTTP/1.1\r\nhost: {QUEUE_HOST}\r\nauthorization: Bearer {KEY}\r\n'
    return f'{start}{fields}\r\n'.encode()


def make_request(body: bytes, fields: str = '') -> bytes:
    """Return a whole request."""
    return make_head(f'content-length: {len(body)}\r\n{fields}') + body


def make_chunks(body: bytes) -> bytes:
    """Return a request whose body comes in chunks of one byte."""
    chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
    return make_head('transfer-encoding: chunked\r\n') + chunks + b'0\r\n\r\n'


async def read_status(stream: trio.SocketStream) -> int:
    """Return the status of the next reply, or 0 when the connection is closed without one."""
    received = b''
    with trio.fail_after(LIMIT_S):
        try:
            while b'\r\n\r\n' not in received:
                piece = bytes(await stream.receive_some())
                if not piece:
                    return 0
                received += piece
        except trio.BrokenResourceError:
            return 0
    return int(received.split()[1])


async def call(address: Address, request: bytes) -> int:
    """Send a request and return the status of the reply."""
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        with trio.move_on_after(LIMIT_S):
            try:
                await stream.send_all(request)
            except trio.BrokenResourceError:
                pass
        return await read_status(stream)


@pytest.fixture
async def fleet() -> AsyncIterator[JobFleet]:
    """Run one node."""
    async with run_job_fleet(1, 1) as running_fleet:
        yield running_fleet


LEGAL = {
    'largest body': make_request(JOB.ljust(BODY_BYTES)),
    'chunks of one byte': make_chunks(JOB.ljust(5_000)),
    '90 fields': make_request(JOB, 'a: b\r\n' * 90),
    'trailing field': make_head('transfer-encoding: chunked\r\n')
    + b'%x\r\n%b\r\n0\r\na: b\r\n\r\n' % (len(JOB), JOB),
}
MANY_PARTS = b'{"steps":[' + b','.join([b'{}'] * 80_000) + b']}'
BEYOND = {
    'body': (make_request(b' ' * (BODY_BYTES + 1)), 413),
    'announced body': (make_head('content-length: 50000000\r\n'), 413),
    'unknown path': (make_head('content-length: 3\r\n', path='/nowhere') + b'abc', 404),
    'parts': (make_request(MANY_PARTS), 413),
    'fields': (make_head('a: b\r\n' * 200), 431),
    'head': (make_head('a: ' + 'b' * 33_000 + '\r\n'), 431),
    'trailing fields': (
        make_head('transfer-encoding: chunked\r\n') + b'0\r\n' + b'a:\r\n' * 9_000,
        431,
    ),
}


@pytest.mark.parametrize('request_bytes', LEGAL.values(), ids=LEGAL.keys())
async def test_legal_request(fleet: JobFleet, request_bytes: bytes) -> None:
    """Guards against a limit that a single request within the users' limits meets."""
    assert await call(fleet.node_addresses[0], request_bytes) == 200
    await fleet.wait_for_state(0, JOB_ID, 'complete')


@pytest.mark.parametrize(('request_bytes', 'status'), BEYOND.values(), ids=BEYOND.keys())
async def test_beyond_limit(fleet: JobFleet, request_bytes: bytes, status: int) -> None:
    """Guards against a refusal that gets lost, and against one that leaves a job behind."""
    assert await call(fleet.node_addresses[0], request_bytes) == status
    assert (await fleet.call(0, 'GET', JOB_ID)).status == 410


Serve = Callable[[Scope, Receive, Send], Awaitable[None]]


async def echo_length(scope: Scope, receive: Receive, send: Send) -> None:
    """Reply with the length of the body."""
    body = await read_body(receive, BODY_BYTES)
    await send_json(send, 200, len(body))


async def ignore_body(scope: Scope, receive: Receive, send: Send) -> None:
    """Reply before the body is there."""
    await send_json(send, 200, {})


async def reply_much(scope: Scope, receive: Receive, send: Send) -> None:
    """Reply with more than the kernel buffers."""
    await send_json(send, 200, ' ' * 20_000_000)


@asynccontextmanager
async def run_port(
    app: Serve, times: TimeLimits = TimeLimits()
) -> AsyncIterator[tuple[ClientPort, Address]]:
    """Serve the app with small limits."""
    port = ClientPort('callers', SMALL, times, RefusalCount(NoMetrics()))
    address = Address(HOST, PORTS.find_free())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(serve_app, app, address, trio.Event(), port=port))
        nursery.start_soon(check_often, port)
        await trio.testing.wait_all_tasks_blocked()
        yield port, address
        nursery.cancel_scope.cancel()


async def check_often(port: ClientPort) -> None:
    """Close clients that take too long, as the owner of the limits does."""
    while True:
        port.close_overdue()
        await trio.sleep(0.05)


async def open_client(address: Address, sent: bytes) -> trio.SocketStream:
    """Return a connection on which some bytes were sent."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    await stream.send_all(sent)
    return stream


async def test_connections_make_place() -> None:
    """Guards against callers refused for as long as others hold all connections."""
    async with run_port(echo_length) as (port, address):
        clients = [await open_client(address, b'') for _ in range(SMALL.connections)]
        await trio.sleep(0.4)
        assert await call(address, make_request(b'abc')) == 200
        assert await read_status(clients[0]) == 0
        assert port.connections <= SMALL.connections


def test_admission_is_bounded() -> None:
    """Guards against connections that are refused or closed and use up the descriptors meanwhile."""
    port = ClientPort('callers', SMALL, SHORT, RefusalCount(NoMetrics()))
    assert [port.admit() for _ in range(8)] == [True] * 5 + [False] * 3
    port.leave()
    assert port.admit()


async def test_memory_makes_place() -> None:
    """Guards against bodies that stop short and use up the memory of others."""
    stalled = make_request(bytes(BODY_BYTES))[:-44]
    async with run_port(echo_length) as (port, address):
        clients = [await open_client(address, stalled) for _ in range(2)]
        await trio.sleep(0.4)
        assert await call(address, make_request(bytes(BODY_BYTES))) == 200
        assert port.total_bytes <= SMALL.held_bytes
        with trio.fail_after(LIMIT_S):
            while port.connections > 1:
                await trio.sleep(0.02)
        for client in clients:
            await client.aclose()


@pytest.mark.parametrize(
    ('sent', 'status'), [(make_head('')[:-2], 408), (make_head('content-length: 9\r\n'), 408)]
)
async def test_time_limits(sent: bytes, status: int) -> None:
    """Guards against a head or body that never ends."""
    async with run_port(echo_length, SHORT) as (port, address):
        assert await call(address, sent) == status
        await wait_empty(port)


async def test_reply_unread() -> None:
    """Guards against a reply that nobody reads and that is kept."""
    async with run_port(reply_much, SHORT) as (port, address):
        await open_client(address, make_head('', 'GET'))
        await trio.sleep(0.1)
        await wait_empty(port)


async def test_requests_ahead() -> None:
    """Guards against clients that have any number of requests served without reading."""
    async with run_port(echo_length) as (port, address):
        stream = await open_client(address, make_head('', 'GET') * (AHEAD_LIMIT + 50))
        await wait_empty(port)
        with trio.fail_after(LIMIT_S):
            received = b''.join([bytes(piece) async for piece in stream])
        assert AHEAD_LIMIT <= received.count(b'HTTP/1.1 200') <= AHEAD_LIMIT + 1


async def test_unread_body() -> None:
    """Guards against a connection that stays when its app does not read the body."""
    async with run_port(ignore_body) as (port, address):
        # The reply may be lost, as the connection is closed while the body is sent.
        assert await call(address, make_request(bytes(BODY_BYTES))[:-44]) in {0, 200}
        await wait_empty(port)


async def test_odd_readiness_checks() -> None:
    """Guards against errors at the readiness port, and against a reply lost over a legal body."""
    async with run_port(ReadyApp(lambda: True)) as (port, address):
        assert await call(address, b'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n') == 405
        assert await call(address, make_request(bytes(BODY_BYTES))) == 200
        await wait_empty(port)


async def test_error_in_decision(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an error in the limits that ends the process or leaves calls without a reply."""
    async with run_port(echo_length) as (port, address):
        clients = [await open_client(address, b'') for _ in range(SMALL.connections)]
        await trio.sleep(0.1)
        with monkeypatch.context() as patch:
            patch.setattr(client_port, 'choose_connections', None)
            assert await call(address, make_request(b'abc')) == 503
        for client in clients:
            await client.aclose()
        await wait_empty(port)
        assert await call(address, make_request(b'abc')) == 200


async def wait_empty(port: ClientPort) -> None:
    """Return once no connection is open and nothing is held."""
    with trio.fail_after(LIMIT_S):
        while port.connections:
            await trio.sleep(0.02)
    assert port.total_bytes == 0
