"""The client for other services: timeouts, calls beside them, and what a call costs."""

from functools import partial

import pytest
import trio

from bench.ports import PORTS
from comfreywind.decisions.transfer_limit import PART_BYTES, CallProgress
from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import Receive, Scope, Send
from comfreywind.http.client import HttpClient
from comfreywind.http.server import serve_app
from comfreywind.settings.address import Address

TIMEOUT_S = 0.4


async def answer_late(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer after the seconds that the path names."""
    await trio.sleep(float(scope['path'].strip('/')))
    await send_json(send, 200, {})


async def wait_until_listening(address: Address) -> None:
    """Return once connections to the address are accepted."""
    with trio.fail_after(5):
        while True:
            try:
                await (await trio.open_tcp_stream(address.host, address.port)).aclose()
            except OSError:
                await trio.sleep(0.01)
            else:
                return


async def test_timeout_beside_other_calls() -> None:
    """Guards against one call over its time that ends all others to the same service.

    Seen on dewpa-sched trouble-2: a reading of a slow store that took too long ended the renewal of
    the term and the write of the roster, which the store would have answered in time.
    """
    address = Address('127.0.0.1', PORTS.find_free())
    shutdown = trio.Event()
    statuses: list[int] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_app, answer_late, address, shutdown)
        await wait_until_listening(address)
        client = HttpClient(address, TIMEOUT_S)
        with trio.fail_after(5):
            statuses.append((await client.call('GET', '/0')).status)

        async def call_in_time() -> None:
            statuses.append((await client.call('GET', '/0.3')).status)

        async def call_too_long() -> None:
            try:
                await client.call('GET', '/2')
            except trio.TooSlowError:
                statuses.append(0)

        async with trio.open_nursery() as calls:
            calls.start_soon(call_too_long)
            await trio.sleep(TIMEOUT_S / 2)
            calls.start_soon(call_in_time)
        assert statuses == [200, 0, 200]
        await client.close()
        nursery.cancel_scope.cancel()


class RawService:
    """Answers requests on raw connections and notes what it received."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self.connections = 0
        self.segments: list[bytes] = []

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer each segment, which has to be a whole request."""
        self.connections += 1
        async for segment in stream:
            self.segments.append(bytes(segment))
            await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}')


async def test_requests_in_one_segment() -> None:
    """Guards the cost of an order: one packet, on a connection that is open already.

    Pattern: keep-alive connections and coalesced writes. Seen on prevoz-plan-large quiet-1: the
    holder opened 740 connections a second, and a third of a call's time went into finding one.
    """
    service = RawService()
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, host='127.0.0.1'), service.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        client = HttpClient(Address('127.0.0.1', port), TIMEOUT_S, connection_limit=2)
        for number in range(20):
            await client.call('POST', '/order', {'number': number})
        assert service.connections == 1
        assert len(service.segments) == 20
        assert all(segment.endswith(b'}') for segment in service.segments)
        async with trio.open_nursery() as calls:
            for number in range(20):
                calls.start_soon(client.call, 'POST', '/order', {'number': number})
        assert service.connections == 2
        await client.close()
        nursery.cancel_scope.cancel()


async def test_closed_by_service() -> None:
    """Guards against calls that fail because the service closed an idle connection."""

    async def serve_once(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}')
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, host='127.0.0.1'), serve_once, 0)
        port = listeners[0].socket.getsockname()[1]
        client = HttpClient(Address('127.0.0.1', port), TIMEOUT_S)
        for _ in range(3):
            assert (await client.call('GET', '/')).status == 200
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()


LARGE_PARTS = 10
PART_PAUSE_S = 0.2
LARGE_TIMEOUT_S = 1.0


async def serve_parts(stream: trio.SocketStream) -> None:
    """Answer /N with N parts of a large answer, one after the other, and anything else at once."""
    async for head in stream:
        path = bytes(head).split()[1].strip(b'/')
        if not path.isdigit():
            await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}')
            continue
        size_bytes = PART_BYTES * LARGE_PARTS
        await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % size_bytes)
        for _ in range(int(path)):
            await trio.sleep(PART_PAUSE_S)
            await stream.send_all(b' ' * PART_BYTES)


@pytest.mark.parametrize(
    ('is_bulk_read', 'parts', 'is_whole'),
    [(True, LARGE_PARTS, True), (True, 5, False), (False, LARGE_PARTS, False)],
    ids=['whole', 'stops', 'no bulk read'],
)
async def test_answer_longer_than_timeout(is_bulk_read: bool, parts: int, is_whole: bool) -> None:
    """Receives the answer to a bulk read for as long as its parts arrive."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, host='127.0.0.1'), serve_parts, 0)
        port = listeners[0].socket.getsockname()[1]
        client = HttpClient(Address('127.0.0.1', port), LARGE_TIMEOUT_S)
        progress = CallProgress(is_bulk_read)
        received_bytes = 0
        with trio.fail_after(10):
            try:
                reply = await client.call('GET', f'/{parts}', progress=progress)
            except trio.TooSlowError:
                assert progress.answered_bytes < LARGE_PARTS * PART_BYTES
            else:
                received_bytes = len(reply.body)
        assert (received_bytes == LARGE_PARTS * PART_BYTES) == is_whole
        nursery.cancel_scope.cancel()
