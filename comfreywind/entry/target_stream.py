"""The byte stream of a connection to a target."""

from collections.abc import Callable

import httpcore
import trio

RECEIVE_BYTES = 65_536


class TargetStream(httpcore.AsyncNetworkStream):
    """Knows what has been sent and received in the present exchange.

    Writes are collected and sent together just before the first read, so that a request is one
    system call and usually one segment. A close in the middle of an exchange is left to the owner,
    who waits for the target to stop the task.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        """Use a connected stream."""
        self._stream = stream
        self._unsent = bytearray()
        self._silence_s = float('inf')
        self._report_silence: Callable[[], None] | None = None
        self.byte_sent = False
        self.byte_received = False
        self.peer_closed = False

    def start_exchange(self, silence_s: float, report_silence: Callable[[], None] | None) -> None:
        """Forget the previous exchange; report once if no byte comes within `silence_s`."""
        self._silence_s = silence_s
        self._report_silence = report_silence
        self.byte_sent = False
        self.byte_received = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, after sending what was written; the owner limits the time."""
        await self._send_unsent()
        try:
            chunk = await self._receive(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.peer_closed = True
            raise httpcore.ReadError(str(error)) from error
        self.byte_received = self.byte_received or bool(chunk)
        self.peer_closed = self.peer_closed or not chunk
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Keep the bytes until the next read."""
        self._unsent += buffer

    async def aclose(self) -> None:
        """Leave the socket to the owner, who closes it."""

    def is_usable(self) -> bool:
        """Return whether an idle connection is still open and has nothing to read."""
        return not self.peer_closed and not self._stream.socket.is_readable()

    async def wait_for_peer_close(self) -> None:
        """Close the sending side and return when the target has closed its own."""
        try:
            await self._drain()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def close(self) -> None:
        """Close the socket at once."""
        self._stream.socket.close()

    async def _drain(self) -> None:
        await self._stream.send_eof()
        received = await self._stream.receive_some(RECEIVE_BYTES)
        while received:
            received = await self._stream.receive_some(RECEIVE_BYTES)

    async def _send_unsent(self) -> None:
        if not self._unsent:
            return
        unsent = bytes(self._unsent)
        self._unsent.clear()
        self.byte_sent = True
        try:
            await self._stream.send_all(unsent)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The target may have answered early and closed; the read tells. RFC 9112 section 9.6.
            self.peer_closed = True

    async def _receive(self, max_bytes: int) -> bytes:
        if self.byte_received or self._report_silence is None:
            return bytes(await self._stream.receive_some(max_bytes))
        with trio.move_on_after(self._silence_s):
            return bytes(await self._stream.receive_some(max_bytes))
        self._report_silence()
        self._report_silence = None
        return bytes(await self._stream.receive_some(max_bytes))
