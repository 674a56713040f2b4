"""The outgoing stream to one peer."""

import logging
import random
import socket

import trio

from comfreywind.clock import Clock
from comfreywind.peers.outbox import Outbox
from comfreywind.peers.stream_limits import StreamLimits
from comfreywind.settings.address import Address

INITIAL_BACKOFF_S = 0.05
# Below the default silence limit of 1.5 s, so that the back-off alone does not make a restarted peer
# count as silent.
MAX_BACKOFF_S = 1.0
STREAM_ERRORS = (OSError, trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError)

log = logging.getLogger('comfreywind.peers')


class PeerLink:
    """Keeps one stream to an address open and sends the queued frames over it.

    The stream is closed and reopened when the peer has echoed no heartbeat for `limits.silent_s`.
    """

    def __init__(
        self, address: Address, hello_frame: bytes, clock: Clock, limits: StreamLimits
    ) -> None:
        """Create a closed link; `run` opens the stream."""
        self.address = address
        self._clock = clock
        self.opened_s = float('inf')
        self.sent_bytes = 0
        self._hello_frame = hello_frame
        self._limits = limits
        self._outbox = Outbox()
        self._socket: socket.socket | None = None
        self._sending = False
        self._stream_scope: trio.CancelScope | None = None
        self._run_scope = trio.CancelScope()
        self._wake = trio.Event()
        self._echo_received = False

    @property
    def is_open(self) -> bool:
        """Return whether the stream is connected."""
        return self._socket is not None

    def put(self, frame: bytes) -> bool:
        """Send or queue a frame; return False if there is no stream or the queue is full."""
        if self._socket is None:
            return False
        if self._sending or not self._outbox.is_empty:
            return self._outbox.put(frame)
        return self._send_now(self._socket, frame)

    def record_echo(self, echo_s: float) -> None:
        """Extend the deadline of the stream, as the peer echoed a heartbeat sent on it.

        `echo_s` is the monotonic time at which this entry sent that heartbeat.
        """
        if self._stream_scope is not None and echo_s >= self.opened_s:
            self._echo_received = True
            self._stream_scope.deadline = trio.current_time() + self._limits.silent_s

    def wake(self) -> None:
        """Skip the rest of the back-off, because the peer is known to be reachable."""
        self._wake.set()

    def close(self) -> None:
        """Stop `run` and close the stream."""
        self._run_scope.cancel()

    async def run(self) -> None:
        """Connect, and reconnect with exponential back-off, until `close`."""
        with self._run_scope:
            backoff_s = INITIAL_BACKOFF_S
            while True:
                self._echo_received = False
                await self._open_stream()
                backoff_s = (
                    INITIAL_BACKOFF_S if self._echo_received else min(2 * backoff_s, MAX_BACKOFF_S)
                )
                await self._wait_backoff(backoff_s * random.uniform(0.5, 1))

    async def _open_stream(self) -> None:
        try:
            stream = await self._connect()
        except STREAM_ERRORS as error:
            log.debug('failed to connect to peer %s, will retry: %s', self.address, error)
            return
        async with stream:
            await self._run_stream(stream)

    async def _connect(self) -> trio.SocketStream:
        family = socket.AF_INET6 if ':' in self.address.host else socket.AF_INET
        new_socket = socket.socket(family, socket.SOCK_STREAM)
        stream_socket = trio.socket.from_stdlib_socket(new_socket)
        try:
            with trio.fail_after(self._limits.connect_timeout_s):
                await stream_socket.connect((self.address.host, self.address.port))
        except BaseException:
            stream_socket.close()
            raise
        self._socket = new_socket
        return trio.SocketStream(stream_socket)

    async def _run_stream(self, stream: trio.SocketStream) -> None:
        self._sending = False
        self._outbox.clear()
        self._outbox.put(self._hello_frame)
        with trio.move_on_after(self._limits.silent_s) as stream_scope:
            self._stream_scope = stream_scope
            self.opened_s = self._clock.read_monotonic_s()
            try:
                await self._send_until_end(stream)
            except* STREAM_ERRORS as errors:
                log.info(
                    'lost the stream to %s, reconnecting: %s', self.address, errors.exceptions[0]
                )
        if stream_scope.cancelled_caught and not self._run_scope.cancel_called:
            log.info(
                'closed the stream to %s: no heartbeat echoed in time, reconnecting', self.address
            )
        self._stream_scope = None
        self._socket = None
        self.opened_s = float('inf')

    async def _send_until_end(self, stream: trio.SocketStream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_frames, stream)
            # The peer sends nothing on this stream, so the read returns only when the peer closes it.
            await stream.receive_some(1)
            nursery.cancel_scope.cancel()

    async def _send_frames(self, stream: trio.SocketStream) -> None:
        while True:
            frames = await self._outbox.drain()
            self._sending = True
            await stream.send_all(frames)
            self._sending = False
            self.sent_bytes += len(frames)

    def _send_now(self, open_socket: socket.socket, frame: bytes) -> bool:
        """Send without a switch to the task of the link; queue what the socket does not accept.

        Most frames are heartbeats, and each task switch costs more than the system call.
        """
        try:
            sent_bytes = open_socket.send(frame)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:
            return False
        self.sent_bytes += sent_bytes
        return sent_bytes == len(frame) or self._outbox.put(frame[sent_bytes:])

    async def _wait_backoff(self, backoff_s: float) -> None:
        self._wake = trio.Event()
        with trio.move_on_after(backoff_s):
            await self._wake.wait()
