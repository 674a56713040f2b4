"""The outgoing stream to one peer."""

import logging
import random
import socket

import trio

from comfreywind.clock import Clock
from comfreywind.peers.outbox import Outbox
from comfreywind.peers.stream_limits import StreamLimits
from comfreywind.settings.address import Address

FIRST_BACKOFF_S = 0.05
# Below the limit of 1.5 s for a silent stream, so that a peer which comes back is not seen as
# silent because of the wait.
HIGHEST_BACKOFF_S = 1.0
STREAM_ERRORS = (OSError, trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError)

log = logging.getLogger('comfreywind.peers')


class PeerLink:
    """Keeps one stream to an address open and sends the queued frames over it.

    The stream is closed and reopened when the peer has confirmed nothing for `limits.silent_s`.
    """

    def __init__(
        self, address: Address, hello_frame: bytes, clock: Clock, limits: StreamLimits
    ) -> None:
        """Prepare the link; `run` opens the stream."""
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
        self._confirmed = False

    @property
    def is_open(self) -> bool:
        """Return whether there is a stream."""
        return self._socket is not None

    def put(self, frame: bytes) -> bool:
        """Queue a frame; return False without a stream or with a full queue."""
        if self._socket is None:
            return False
        if self._sending or not self._outbox.is_empty:
            return self._outbox.put(frame)
        return self._send_now(self._socket, frame)

    def confirm(self, echo_s: float) -> None:
        """Note that the peer has received a heartbeat that was sent at this monotonic time."""
        if self._stream_scope is not None and echo_s >= self.opened_s:
            self._confirmed = True
            self._stream_scope.deadline = trio.current_time() + self._limits.silent_s

    def wake(self) -> None:
        """Connect now instead of after the back-off, because the peer is known to be there."""
        self._wake.set()

    def close(self) -> None:
        """End the link."""
        self._run_scope.cancel()

    async def run(self) -> None:
        """Keep the stream open until `close`."""
        with self._run_scope:
            backoff_s = FIRST_BACKOFF_S
            while True:
                self._confirmed = False
                await self._try_stream()
                backoff_s = (
                    FIRST_BACKOFF_S if self._confirmed else min(2 * backoff_s, HIGHEST_BACKOFF_S)
                )
                await self._wait(backoff_s * random.uniform(0.5, 1))

    async def _try_stream(self) -> None:
        try:
            stream = await self._connect()
        except STREAM_ERRORS as error:
            log.debug('no stream to %s: %s', self.address, error)
            return
        async with stream:
            await self._use_stream(stream)

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

    async def _use_stream(self, stream: trio.SocketStream) -> None:
        self._sending = False
        self._outbox.clear()
        self._outbox.put(self._hello_frame)
        with trio.move_on_after(self._limits.silent_s) as stream_scope:
            self._stream_scope = stream_scope
            self.opened_s = self._clock.read_monotonic_s()
            try:
                await self._send_until_end(stream)
            except* STREAM_ERRORS as errors:
                log.info('the stream to %s broke: %s', self.address, errors.exceptions[0])
        if stream_scope.cancelled_caught and not self._run_scope.cancel_called:
            log.info('the stream to %s was silent and is reopened', self.address)
        self._stream_scope = None
        self._socket = None
        self.opened_s = float('inf')

    async def _send_until_end(self, stream: trio.SocketStream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_frames, stream)
            # The peer sends nothing on this stream; a read ends when the peer closes it.
            await stream.receive_some(1)
            nursery.cancel_scope.cancel()

    async def _send_frames(self, stream: trio.SocketStream) -> None:
        while True:
            frames = await self._outbox.take_all()
            self._sending = True
            await stream.send_all(frames)
            self._sending = False
            self.sent_bytes += len(frames)

    def _send_now(self, open_socket: socket.socket, frame: bytes) -> bool:
        """Send without a switch to the task of the link, and queue what the socket doesn't take.

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

    async def _wait(self, backoff_s: float) -> None:
        self._wake = trio.Event()
        with trio.move_on_after(backoff_s):
            await self._wake.wait()
