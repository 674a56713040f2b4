"""Frames that wait to be sent to one peer."""

import trio

from comfreywind.peers.frame_reader import FRAME_HEADER, FRAME_LIMIT_BYTES

OUTBOX_LIMIT_BYTES = 2 * (FRAME_LIMIT_BYTES + FRAME_HEADER.size)


class Outbox:
    """A queue of frames bounded in bytes, so that a frozen peer can't make memory grow."""

    def __init__(self) -> None:
        """Start empty."""
        self._frames: list[bytes] = []
        self._size_bytes = 0
        self._filled = trio.Event()

    @property
    def is_empty(self) -> bool:
        """Return whether no frame waits."""
        return not self._frames

    def put(self, frame: bytes) -> bool:
        """Queue a frame and return True, or return False when the queue is full."""
        if self._size_bytes + len(frame) > OUTBOX_LIMIT_BYTES:
            return False
        self._frames.append(frame)
        self._size_bytes += len(frame)
        self._filled.set()
        return True

    def clear(self) -> None:
        """Drop all frames."""
        self._frames.clear()
        self._size_bytes = 0
        self._filled = trio.Event()

    async def take_all(self) -> bytes:
        """Wait for frames and return all of them in one piece."""
        await self._filled.wait()
        joined = b''.join(self._frames)
        self.clear()
        return joined
