"""Messages of one request on their way from the connection to the app."""

from collections import deque

import trio

from comfreywind.http.asgi_types import Message
from comfreywind.http.disconnect import DISCONNECT

# Messages that wait for the app. Each holds at most what the connection reads at a time.
WAITING_MESSAGES = 2


class RequestQueue:
    """Hands messages to the app, and drops them once the app has finished.

    Hypercorn's own channel lets the connection wait forever if the app ends without reading the
    body: the connection then kept its task, its socket and what was read of the body.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._messages: deque[Message] = deque()
        self._changed = trio.Event()
        self._finished = False

    async def put(self, message: Message) -> None:
        """Add a message; wait while the app has enough of them, except with its disconnect."""
        while len(self._messages) >= WAITING_MESSAGES and message['type'] != DISCONNECT:
            if self._finished:
                return
            await self._changed.wait()
        if not self._finished:
            self._messages.append(message)
            self._note_change()

    async def get(self) -> Message:
        """Return the next message."""
        while not self._messages:
            await self._changed.wait()
        message = self._messages.popleft()
        self._note_change()
        return message

    def finish(self) -> None:
        """Drop all messages, now and from now on."""
        self._finished = True
        self._messages.clear()
        self._note_change()

    def _note_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
