"""Serves one connection with hypercorn."""

import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState

# Hypercorn waits without a limit and can't be cancelled, so a caller that stops reading would keep
# its task and delay the end of the process.
SEND_TIMEOUT_S = 30


class ConnectionServer(TCPServer):
    """Hypercorn's server of one connection, which also ends when the other side closes.

    Hypercorn 0.18 waits for its idle timer even then. A closed connection so kept its socket open
    for the keep-alive time of 75 s, and callers that connect anew for each request used up the file
    descriptors of the process.
    """

    def __init__(
        self, app: AppWrapper, config: Config, context: WorkerContext, stream: trio.SocketStream
    ) -> None:
        """Serve the stream once awaited."""
        super().__init__(app, config, context, ConnectionState({}), stream)  # type: ignore[arg-type]
        self._input_ended = False

    async def protocol_send(self, event: Event) -> None:
        """Send what the protocol has produced; start no idle timer after the end of the input."""
        if isinstance(event, RawData):
            await self._send_bytes(event.data)
        elif not (self._input_ended and isinstance(event, Updated)):
            await super().protocol_send(event)

    async def _send_bytes(self, chunk: bytes) -> None:
        """Send the bytes; close the connection when the other side takes none for too long."""
        async with self.send_lock:
            try:
                with trio.fail_after(SEND_TIMEOUT_S, shield=True):
                    await self.stream.send_all(chunk)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self.protocol.handle(Closed())
            except trio.TooSlowError:
                await trio.aclose_forcefully(self.stream)
                await self.protocol.handle(Closed())

    async def _read_data(self) -> None:
        await super()._read_data()
        self._input_ended = True
        await self.idle_task.stop()
