"""The client for other services: timeouts and calls beside them."""

import trio

from bench.ports import PORTS
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
