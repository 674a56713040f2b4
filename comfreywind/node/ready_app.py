"""Readiness check for the platform's load balancer."""

from collections.abc import Callable

from comfreywind.http.asgi_body import BodyIncompleteError, BodyTooLargeError, discard_body
from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import Receive, Scope, Send

# A check has no body; one that is sent all the same is read, so that the reply is not lost.
BODY_LIMIT_BYTES = 262_144


class ReadyApp:
    """ASGI app that replies 200 while the node is ready for connections and 503 otherwise."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Use the function, which is called for each request."""
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        try:
            await discard_body(receive, BODY_LIMIT_BYTES)
        except BodyIncompleteError:
            return
        except BodyTooLargeError as error:
            await send_json(send, 413, {'error': str(error)})
            return
        if scope['method'] == 'CONNECT':
            # HTTP has no body in a reply of 200 to it, so that one would fail.
            await send_json(send, 405, {'error': 'tunnels are not served'})
            return
        ready = self._is_ready()
        await send_json(send, 200 if ready else 503, {'ready': ready})
