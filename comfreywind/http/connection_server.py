"""Serves one connection with hypercorn."""

import trio
from hypercorn.config import Config
from hypercorn.events import Event, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState


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
        if self._input_ended and isinstance(event, Updated):
            return
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        await super()._read_data()
        self._input_ended = True
        await self.idle_task.stop()
