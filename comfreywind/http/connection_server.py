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
FINAL_HEADS = tuple(f'HTTP/1.1 {digit}'.encode() for digit in (2, 3, 4, 5))


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
        self._idle_since_s: float | None = trio.current_time()
        self._head_expected = False
        self._head = b''

    async def protocol_send(self, event: Event) -> None:
        """Send what the protocol has produced and note whether a request is being served."""
        if isinstance(event, RawData):
            await self._send_bytes(self._join_head(event.data))
        elif isinstance(event, Updated):
            self._idle_since_s = trio.current_time() if event.idle else None
            self._head_expected = not event.idle
        else:
            await self._send_bytes(self._take_head())
            await super().protocol_send(event)

    def _join_head(self, chunk: bytes) -> bytes:
        """Return what to send now: the head of a response waits for the first part of its body.

        ASGI has the head always followed by a part of the body, and two small segments would cost
        two system calls here and two wake-ups at the caller.
        """
        if self._head_expected and chunk.startswith(FINAL_HEADS):
            self._head_expected = False
            self._head = chunk
            return b''
        return self._take_head() + chunk

    def _take_head(self) -> bytes:
        head = self._head
        self._head = b''
        return head

    async def _send_bytes(self, chunk: bytes) -> None:
        """Send the bytes; close the connection when the other side takes none for too long."""
        if not chunk:
            return
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
        await self.idle_task.stop()

    async def _idle_timeout(self) -> None:
        """Close the connection when it has been idle for long, or is idle when the server stops.

        Hypercorn starts this as a new task after each request, which costs a nursery each time; here
        one task lasts as long as the connection.
        """
        while not self.context.terminated.is_set():
            with trio.move_on_after(self._find_idle_left_s()):
                await self.context.terminated.wait()
            if self._idle_since_s is not None and self._find_idle_left_s() <= 0:
                break
        if self._idle_since_s is not None:
            with trio.CancelScope(shield=True):
                await self._initiate_server_close()

    def _find_idle_left_s(self) -> float:
        """Return the time left until the connection may be closed; a full one while it is busy."""
        limit_s = self.config.keep_alive_timeout
        if self._idle_since_s is None:
            return limit_s
        return self._idle_since_s + limit_s - trio.current_time()
