"""Request body and disconnect of a caller."""

import trio

from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.http.asgi_body import BodyTooLargeError, read_body
from comfreywind.http.asgi_types import Message, Receive
from comfreywind.http.disconnect import DISCONNECT, cancel_on_disconnect

# Time for a refused caller to finish sending its body before the connection is closed.
DISCARD_TIMEOUT_S = 2.0


class CallerBody:
    """Reads the body within limits and detects a disconnect."""

    def __init__(self, receive: Receive, limit_bytes: int) -> None:
        """Read from the ASGI function `receive`, at most `limit_bytes`."""
        self._receive = receive
        self._limit_bytes = limit_bytes
        self.complete = False

    async def read_whole(self, timeout_s: float) -> bytes:
        """Return the body; raise RefusalError if it is too large or takes too long.

        Raises BodyIncompleteError when the caller disconnects.
        """
        with trio.move_on_after(timeout_s):
            try:
                return await read_body(self._receive_message, self._limit_bytes)
            except BodyTooLargeError as error:
                raise RefusalError(Refusal(RefusalReason.BODY_TOO_LARGE, str(error))) from error
        raise RefusalError(
            Refusal(RefusalReason.BODY_TIMEOUT, f'no whole body within {timeout_s} s')
        )

    async def cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the scope when the caller closes its connection."""
        await cancel_on_disconnect(self._receive, scope)

    async def discard_rest(self) -> None:
        """Read and discard the rest of the body for at most `DISCARD_TIMEOUT_S`."""
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            while not self.complete:
                await self._receive_message()

    async def _receive_message(self) -> Message:
        message = await self._receive()
        if message['type'] == DISCONNECT or not message.get('more_body', False):
            self.complete = True
        return message
