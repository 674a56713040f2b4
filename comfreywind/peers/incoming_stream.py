"""Reads a stream that a peer has opened."""

import logging
from typing import Protocol

import trio

from comfreywind.errors import ComfreywindError, PeerError
from comfreywind.peers.frame_reader import FrameReader
from comfreywind.peers.message_codec import MessageCodec
from comfreywind.peers.messages.heartbeat import Heartbeat
from comfreywind.peers.messages.hello import Hello
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.peer_message import PeerMessage

HELLO_LIMIT_BYTES = 1_024
STREAM_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)

log = logging.getLogger('comfreywind.peers')


class StreamReceiver(Protocol):
    """Handles the messages of incoming streams."""

    def accept_hello(
        self, hello: Hello, remote_host: str, stream_scope: trio.CancelScope
    ) -> PeerIdentity:
        """Return the identity of the peer; raise PeerError to refuse the stream."""

    def deliver(self, sender: PeerIdentity, message: PeerMessage) -> None:
        """Handle a message received after the `Hello`."""


class IncomingStream:
    """Reads messages until the stream ends, violates the protocol or sends no heartbeat in time."""

    def __init__(
        self,
        stream: trio.SocketStream,
        codec: MessageCodec,
        receiver: StreamReceiver,
        silent_s: float,
    ) -> None:
        """Take ownership of the stream; `run` closes it."""
        self._stream = stream
        self._reader = FrameReader(stream)
        self._codec = codec
        self._receiver = receiver
        self._silent_s = silent_s
        self._remote_address = stream.socket.getpeername()

    async def run(self) -> None:
        """Read until the stream ends or fails; log the reason of a failure."""
        async with self._stream:
            try:
                await self._read_until_timeout()
            except PeerError as error:
                log.error('closed the stream from %s:%d: %s', *self._remote_address[:2], error)
            except STREAM_ERRORS as error:
                log.info('lost the stream from %s:%d: %s', *self._remote_address[:2], error)

    async def _read_until_timeout(self) -> None:
        with trio.move_on_after(self._silent_s) as scope:
            sender = await self._read_hello(scope)
            if sender is not None:
                await self._read_messages(sender, scope)
        if scope.cancelled_caught:
            log.info(
                'closed the stream from %s:%d: no heartbeat in time, or replaced by a newer stream',
                *self._remote_address[:2],
            )

    async def _read_hello(self, scope: trio.CancelScope) -> PeerIdentity | None:
        frame = await self._reader.read_frame(HELLO_LIMIT_BYTES)
        if frame is None:
            return None
        hello = self._codec.decode(frame)
        if not isinstance(hello, Hello):
            raise PeerError(f'the first message is a {type(hello).__name__}, not a Hello')
        return self._receiver.accept_hello(hello, self._remote_address[0], scope)

    async def _read_messages(self, sender: PeerIdentity, scope: trio.CancelScope) -> None:
        while True:
            frame = await self._reader.read_frame()
            if frame is None:
                return
            message = self._codec.decode(frame)
            if isinstance(message, Heartbeat):
                scope.deadline = trio.current_time() + self._silent_s
            self._deliver(sender, message)

    def _deliver(self, sender: PeerIdentity, message: PeerMessage) -> None:
        try:
            self._receiver.deliver(sender, message)
        except PeerError:
            raise
        except ComfreywindError as error:
            name = type(message).__name__
            log.error('failed to handle a %s message from %s: %s', name, sender.name, error)
