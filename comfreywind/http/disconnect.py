"""Notices that the other side of an ASGI connection has gone."""

import trio

from comfreywind.http.asgi_types import Receive

DISCONNECT = 'http.disconnect'


async def wait_for_disconnect(receive: Receive) -> None:
    """Return when the connection is closed; call it after the whole body was read."""
    message = await receive()
    while message['type'] != DISCONNECT:
        message = await receive()


async def cancel_on_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    """Cancel the scope when the connection is closed."""
    await wait_for_disconnect(receive)
    scope.cancel()
