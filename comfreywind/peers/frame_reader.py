"""Reads length-prefixed frames from a stream."""

import struct

import trio

from comfreywind.errors import PeerError

FRAME_LIMIT_BYTES = 1_048_576
FRAME_HEADER = struct.Struct('>I')
RECEIVE_CHUNK_BYTES = 65_536


class FrameReader:
    """Splits a stream into frames; buffers at most one frame and one read."""

    def __init__(self, stream: trio.abc.ReceiveStream) -> None:
        """Wrap the stream; the caller closes it."""
        self._stream = stream
        self._buffer = bytearray()

    async def read_frame(self, limit_bytes: int = FRAME_LIMIT_BYTES) -> bytes | None:
        """Return the next frame, or None at the end of the stream.

        Raises PeerError for a frame above the limit and for a stream that ends within a frame.
        """
        if not await self._fill_buffer(FRAME_HEADER.size):
            return None
        length_bytes = int.from_bytes(self._buffer[: FRAME_HEADER.size], 'big')
        if length_bytes > limit_bytes:
            raise PeerError(f'a frame of {length_bytes} bytes is above {limit_bytes} bytes')
        end = FRAME_HEADER.size + length_bytes
        if not await self._fill_buffer(end):
            raise PeerError('the stream ended within a frame')
        frame = bytes(self._buffer[FRAME_HEADER.size : end])
        del self._buffer[:end]
        return frame

    async def _fill_buffer(self, size_bytes: int) -> bool:
        """Read until the buffer holds `size_bytes`; return False if the stream ends first."""
        while len(self._buffer) < size_bytes:
            chunk = await self._stream.receive_some(RECEIVE_CHUNK_BYTES)
            if not chunk:
                return False
            self._buffer += chunk
        return True
