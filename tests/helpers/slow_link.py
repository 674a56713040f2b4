"""A TCP relay whose connections share the rate of one link."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio

from comfreywind.settings.address import Address

CHUNK_BYTES = 8192
Send = Callable[[bytes], Awaitable[None]]


class SlowLink:
    """Passes bytes between its own address and another one, downwards at a limited rate.

    Bytes of all connections wait in one queue, as at the network interface of a small VM.
    """

    def __init__(self, target: Address, rate_bytes_per_s: float) -> None:
        """Pass connections on to the target address."""
        self.rate_bytes_per_s = rate_bytes_per_s
        self.passed_bytes = 0
        self._target = target
        self._free_s = 0.0

    async def serve(self, address: Address) -> None:
        """Serve connections to the address until cancelled."""
        await trio.serve_tcp(self._relay, address.port, host=address.host)

    async def _relay(self, near: trio.SocketStream) -> None:
        far = await trio.open_tcp_stream(self._target.host, self._target.port)
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(_pump, far, partial(self._send_slowly, near), nursery)
            nursery.start_soon(_pump, near, far.send_all, nursery)

    async def _send_slowly(self, near: trio.SocketStream, chunk: bytes) -> None:
        self._free_s = max(self._free_s, trio.current_time()) + len(chunk) / self.rate_bytes_per_s
        await trio.sleep_until(self._free_s)
        self.passed_bytes += len(chunk)
        await near.send_all(chunk)


async def _pump(source: trio.SocketStream, send: Send, nursery: trio.Nursery) -> None:
    """Pass bytes on until one of the two ends closes, then end the connection."""
    try:
        while chunk := bytes(await source.receive_some(CHUNK_BYTES)):
            await send(chunk)
    except trio.BrokenResourceError:
        # The other end has closed the connection with bytes on their way.
        pass
    nursery.cancel_scope.cancel()
