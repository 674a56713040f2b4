"""A TCP relay whose connections share the rate of one link."""

from functools import partial

import trio

from comfreywind.settings.address import Address

CHUNK_BYTES = 8192


class SlowLink:
    """Passes bytes between its own address and another one, downwards at a limited rate.

    Chunks of all connections wait in one queue of bounded length, as at the network interface of a
    small VM.
    """

    def __init__(self, target: Address, rate_bytes_per_s: float, queue_s: float) -> None:
        """Pass connections on to the target address; a full queue takes `queue_s` to send."""
        self.rate_bytes_per_s = rate_bytes_per_s
        self.passed_bytes = 0
        self._target = target
        queue_chunks = max(1, int(rate_bytes_per_s * queue_s / CHUNK_BYTES))
        self._queue, self._waiting = trio.open_memory_channel[tuple[trio.SocketStream, bytes]](
            queue_chunks
        )

    async def serve(
        self, address: Address, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve connections to the address until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_in_turn)
            await nursery.start(
                partial(trio.serve_tcp, host=address.host), self._relay, address.port
            )
            task_status.started()

    async def _relay(self, near: trio.SocketStream) -> None:
        far = await trio.open_tcp_stream(self._target.host, self._target.port)
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump_down, far, near, nursery)
            nursery.start_soon(_pump_up, near, far, nursery)

    async def _pump_down(
        self, far: trio.SocketStream, near: trio.SocketStream, nursery: trio.Nursery
    ) -> None:
        while chunk := bytes(await far.receive_some(CHUNK_BYTES)):
            await self._queue.send((near, chunk))
        nursery.cancel_scope.cancel()

    async def _send_in_turn(self) -> None:
        async for near, chunk in self._waiting:
            await trio.sleep(len(chunk) / self.rate_bytes_per_s)
            self.passed_bytes += len(chunk)
            try:
                await near.send_all(chunk)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The node has closed the connection while bytes were on their way.
                continue


async def _pump_up(near: trio.SocketStream, far: trio.SocketStream, nursery: trio.Nursery) -> None:
    try:
        while chunk := bytes(await near.receive_some(CHUNK_BYTES)):
            await far.send_all(chunk)
    except trio.BrokenResourceError:
        # One of the two ends has closed the connection.
        pass
    nursery.cancel_scope.cancel()
