"""Serves one connection with hypercorn."""

import logging

import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import parse_socket_addr

from comfreywind.decisions.clients.client_activity import ClientActivity
from comfreywind.decisions.clients.connection_progress import ConnectionProgress
from comfreywind.decisions.clients.time_limits import AHEAD_LIMIT
from comfreywind.http.client_port import ClientPort, OpenPort
from comfreywind.http.client_refusal import make_connection_refusal, make_refusal
from comfreywind.http.close_reason import CloseReason
from comfreywind.http.connection_tasks import ConnectionTasks
from comfreywind.http.limited_protocol import LimitedProtocol

# Hypercorn waits without a limit and can't be cancelled, so a caller that stops reading would keep
# its task and delay the end of the process.
SEND_TIMEOUT_S = 30
# A refusal is sent only as far as the client takes it at once.
REFUSAL_TIMEOUT_S = 0.05
# What is read at a time, also of requests sent ahead while one is being served.
READ_BYTES = 16_384
# What is read at a time of a body that has turned out to be large.
BODY_READ_BYTES = 65_536
# Parsing a piece of that size takes less, unless it consists of many small chunks.
CHEAP_PARSING_S = 0.001
FINAL_HEADS = tuple(f'HTTP/1.1 {digit}'.encode() for digit in (2, 3, 4, 5))

log = logging.getLogger('comfreywind.http')


class ConnectionServer(TCPServer):
    """Hypercorn's server of one connection, which also ends when the other side closes.

    Hypercorn 0.18 waits for its idle timer even then. A closed connection so kept its socket open
    for the keep-alive time of 75 s, and callers that connect anew for each request used up the file
    descriptors of the process.

    The port of the connection grants what is read from it, and may close it at any time.
    """

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        stream: trio.SocketStream,
        port: ClientPort | OpenPort,
    ) -> None:
        """Serve the stream once awaited."""
        super().__init__(app, config, context, ConnectionState({}), stream)  # type: ignore[arg-type]
        self._port = port
        self._progress = ConnectionProgress(trio.current_time())
        self._scope = trio.CancelScope()
        self._send_scope = trio.CancelScope()
        self._closed_for: CloseReason | None = None
        self._refusal = b''
        self._idle_since_s: float | None = trio.current_time()
        self._head_expected = False
        self._head = b''

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        try:
            await self._serve_until_closed()
        except OSError as error:
            log.debug('connection ended: %s', error)
        finally:
            # First, as closing the socket may be cancelled.
            self._port.close(self)
            await self._close()

    def describe(self, held_bytes: int) -> ClientActivity:
        """Return what the client has done so far."""
        return self._progress.describe(trio.current_time(), held_bytes)

    def close_for(self, reason: CloseReason) -> None:
        """Close the connection soon, with a reply to a request that has not arrived whole."""
        if self._closed_for is None:
            self._closed_for = reason
            if not self._progress.replied:
                self._refusal = make_refusal(self._progress.phase, reason)
            self._scope.cancel()
            self._send_scope.cancel()

    async def protocol_send(self, event: Event) -> None:
        """Send what the protocol has produced and note whether a request is being served."""
        if self._closed_for is not None:
            # What a cancelled app leaves behind must not come before the refusal.
            return
        if isinstance(event, RawData):
            await self._send_bytes(self._join_head(event.data))
        elif isinstance(event, Updated):
            self._note_update(event.idle)
        else:
            await self._send_bytes(self._take_head())
            await super().protocol_send(event)

    async def _serve_until_closed(self) -> None:
        if self._port.open(self):
            with self._scope:
                await self._serve()
        else:
            self._refusal = make_connection_refusal()
        await self._send_refusal()

    async def _serve(self) -> None:
        socket = self.stream.socket
        client = parse_socket_addr(socket.family, socket.getpeername())
        server = parse_socket_addr(socket.family, socket.getsockname())
        async with ConnectionTasks() as tasks:
            self._task_group = tasks
            protocol = LimitedProtocol(
                self._note_request,
                self.app,
                self.config,
                self.context,
                tasks,
                ConnectionState(self.state),
                False,
                client,
                server,
                self.protocol_send,
            )
            self._parser = protocol.parser
            self.protocol = protocol  # type: ignore[assignment]
            await self.idle_task.restart(tasks, self._idle_timeout)
            await self._read_data()

    def _join_head(self, chunk: bytes) -> bytes:
        """Return what to send now: the head of a response waits for the first part of its body.

        ASGI has the head always followed by a part of the body, and two small segments would cost
        two system calls here and two wake-ups at the caller.
        """
        if self._head_expected and chunk.startswith(FINAL_HEADS):
            self._head_expected = False
            self._progress.note_reply()
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
            self._progress.note_sending(trio.current_time())
            deadline_s = trio.current_time() + SEND_TIMEOUT_S
            self._send_scope = trio.CancelScope(deadline=deadline_s, shield=True)
            try:
                with self._send_scope:
                    await self.stream.send_all(chunk)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self.protocol.handle(Closed())
            finally:
                self._progress.note_sent()
            if self._send_scope.cancelled_caught:
                await trio.aclose_forcefully(self.stream)
                await self.protocol.handle(Closed())

    async def _send_refusal(self) -> None:
        """Tell a client that was closed why, as far as it takes that at once."""
        if self._refusal:
            with trio.move_on_after(REFUSAL_TIMEOUT_S):
                try:
                    await self.stream.send_all(self._refusal)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return

    async def _read_data(self) -> None:
        more = True
        while more:
            more = await self._read_piece()
        await self.protocol.handle(Closed())
        await self.idle_task.stop()

    async def _read_piece(self) -> bool:
        """Read and handle some bytes; return whether more may come."""
        try:
            received = await self._receive()
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            return False
        if received:
            self._progress.note_received(len(received), trio.current_time())
        await self.protocol.handle(RawData(received))
        self._port.settle(self, self._parser.held_bytes)
        await self._wait_for_others()
        return bool(received)

    async def _wait_for_others(self) -> None:
        """Wait after a part of a body that has been expensive to parse."""
        parsing_s = self._parser.take_parsing_s()
        if parsing_s > CHEAP_PARSING_S:
            await self._port.pace.wait(parsing_s)

    async def _receive(self) -> bytes:
        """Return some bytes, or none at the end of the stream.

        Memory for them is granted once they are there, as most connections are idle, and before
        they are read.
        """
        socket = self.stream.socket
        if socket.fileno() < 0:
            raise trio.ClosedResourceError
        await trio.lowlevel.wait_readable(socket)
        size_bytes = BODY_READ_BYTES if self._parser.held_bytes >= READ_BYTES else READ_BYTES
        if not self._port.grant(self, size_bytes):
            raise trio.ClosedResourceError
        return bytes(await self.stream.receive_some(size_bytes))

    def _note_update(self, idle: bool) -> None:
        now_s = trio.current_time()
        self._idle_since_s = now_s if idle else None
        self._head_expected = not idle
        if idle:
            self._progress.note_served(self._parser.buffered_bytes, now_s)
            self._port.settle(self, self._parser.held_bytes)
            if self._progress.ahead_count > AHEAD_LIMIT:
                self._port.refuse(self, CloseReason.AHEAD)
        else:
            self._progress.note_head(now_s)

    def _note_request(self) -> None:
        self._progress.note_request(trio.current_time(), self._parser.buffered_bytes)

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
