"""The byte stream of a connection to a target."""

from collections.abc import Callable

import httpcore
import trio

RECEIVE_SIZE_BYTES = 65_536


class TargetStream(httpcore.AsyncNetworkStream):
    """Tracks whether bytes were sent and received in the current exchange.

    Writes are buffered and sent together before the next read, so that a request takes one system
    call and usually one segment. `aclose` leaves the socket open: the owner closes it after the
    target has stopped the task.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        """Wrap a connected stream."""
        self._stream = stream
        self._unsent = bytearray()
        self._silence_s = float('inf')
        self._report_silence: Callable[[], None] | None = None
        self.byte_sent = False
        self.byte_received = False
        self.peer_closed = False

    def start_exchange(self, silence_s: float, report_silence: Callable[[], None] | None) -> None:
        """Reset the state; call `report_silence` once if no byte arrives within `silence_s`."""
        self._silence_s = silence_s
        self._report_silence = report_silence
        self.byte_sent = False
        self.byte_received = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send the buffered bytes and return received ones; `timeout` is left to the owner."""
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
        """Buffer the bytes until the next read."""
        self._unsent += buffer

    async def aclose(self) -> None:
        """Do nothing; the owner closes the socket."""

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has no unexpected bytes to read."""
        return not self.peer_closed and not self._stream.socket.is_readable()

    async def wait_for_peer_close(self) -> None:
        """Shut down the sending side and return once the target has closed the connection."""
        try:
            await self._drain()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def close(self) -> None:
        """Close the socket immediately."""
        self._stream.socket.close()

    async def _drain(self) -> None:
        await self._stream.send_eof()
        received = await self._stream.receive_some(RECEIVE_SIZE_BYTES)
        while received:
            received = await self._stream.receive_some(RECEIVE_SIZE_BYTES)

    async def _send_unsent(self) -> None:
        if not self._unsent:
            return
        unsent = bytes(self._unsent)
        self._unsent.clear()
        self.byte_sent = True
        try:
            await self._stream.send_all(unsent)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The target may have answered early and closed; the next read shows whether it has
            # (RFC 9112 section 9.6).
            self.peer_closed = True

    async def _receive(self, max_bytes: int) -> bytes:
        if self.byte_received or self._report_silence is None:
            return bytes(await self._stream.receive_some(max_bytes))
        with trio.move_on_after(self._silence_s):
            return bytes(await self._stream.receive_some(max_bytes))
        self._report_silence()
        self._report_silence = None
        return bytes(await self._stream.receive_some(max_bytes))
