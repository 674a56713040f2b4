"""Send queue of frames for one peer."""

import trio

from comfreywind.peers.frame_reader import FRAME_HEADER, FRAME_LIMIT_BYTES

OUTBOX_LIMIT_BYTES = 2 * (FRAME_LIMIT_BYTES + FRAME_HEADER.size)


class Outbox:
    """A queue of frames bounded in bytes, so that a peer that stops reading can't exhaust memory."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._frames: list[bytes] = []
        self._size_bytes = 0
        self._has_frames = trio.Event()

    @property
    def is_empty(self) -> bool:
        """Return whether no frame is queued."""
        return not self._frames

    def put(self, frame: bytes) -> bool:
        """Queue a frame and return True, or return False when the queue is full."""
        if self._size_bytes + len(frame) > OUTBOX_LIMIT_BYTES:
            return False
        self._frames.append(frame)
        self._size_bytes += len(frame)
        self._has_frames.set()
        return True

    def clear(self) -> None:
        """Drop all frames."""
        self._frames.clear()
        self._size_bytes = 0
        self._has_frames = trio.Event()

    async def drain(self) -> bytes:
        """Wait until frames are queued, then remove and return all of them, concatenated."""
        await self._has_frames.wait()
        joined = b''.join(self._frames)
        self.clear()
        return joined
