"""Readiness check for the platform's load balancer."""

from collections.abc import Callable

from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import Receive, Scope, Send


class ReadyApp:
    """ASGI app that replies 200 while the node is ready for connections and 503 otherwise."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Use the function, which is called for each request."""
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        ready = self._is_ready()
        await send_json(send, 200 if ready else 503, {'ready': ready})
