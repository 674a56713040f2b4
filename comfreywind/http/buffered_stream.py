"""TCP streams for httpcore that send a request's head and body at once."""

import ssl
from collections.abc import Callable
from typing import Any

import httpcore
import trio

from comfreywind.settings.address import Address


class BufferedStream(httpcore.AsyncNetworkStream):
    """Keeps what is written until an answer is read; the caller of httpcore bounds the time.

    httpcore writes the head and the body of a request one after the other, and reads only when the
    request is complete. One packet costs both ends less than two. `note_received` is called with
    the number of bytes that have arrived.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        """Use a connected stream."""
        self._stream = stream
        self._unsent = bytearray()
        self.note_received: Callable[[int], None] | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what was written and return what comes, empty at the end of the connection.

        Raises httpcore.ReadError when the connection fails.
        """
        try:
            return await self._exchange(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Keep the bytes until the next read."""
        self._unsent += buffer

    async def aclose(self) -> None:
        """Close the connection without waiting for the other end."""
        await trio.aclose_forcefully(self._stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse: the platform's services speak plain HTTP."""
        raise NotImplementedError('TLS is not supported')

    def get_extra_info(self, info: str) -> Any:  # noqa: WPS110 (named by httpcore)
        """Return whether something can be read; nothing else is known."""
        if info == 'is_readable':
            return self._stream.socket.is_readable()
        return None

    async def _exchange(self, max_bytes: int) -> bytes:
        if self._unsent:
            unsent = bytes(self._unsent)
            self._unsent.clear()
            await self._stream.send_all(unsent)
        received = bytes(await self._stream.receive_some(max_bytes))
        if self.note_received is not None:
            self.note_received(len(received))
        return received


async def connect(address: Address) -> BufferedStream:
    """Return a stream to the address; raise httpcore.ConnectError when there is none."""
    socket = trio.socket.socket()
    try:
        await socket.connect((address.host, address.port))
    except OSError as error:
        socket.close()
        raise httpcore.ConnectError(str(error)) from error
    except BaseException:
        socket.close()
        raise
    return BufferedStream(trio.SocketStream(socket))
