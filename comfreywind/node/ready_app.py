"""Tells the platform's balancer whether this node takes connections."""

from collections.abc import Callable

from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import Receive, Scope, Send


class ReadyApp:
    """ASGI app that answers 200 while the node is ready and 503 otherwise."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Ask the function at each call."""
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        ready = self._is_ready()
        await send_json(send, 200 if ready else 503, {'ready': ready})
