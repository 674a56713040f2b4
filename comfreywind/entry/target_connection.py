"""An HTTP/1.1 connection to a target."""

import httpcore

from comfreywind.entry.target_stream import TargetStream


class TargetConnection:
    """Serves one exchange at a time; can be reused after a complete answer."""

    def __init__(self, stream: TargetStream, origin: httpcore.Origin, generation: int) -> None:
        """Start HTTP on a new stream; `generation` is that of its connection pool."""
        self.stream = stream
        self.generation = generation
        self.reused = False
        self.idle_since_s: float = 0
        self._http = httpcore.AsyncHTTP11Connection(origin, stream)

    async def send(self, request: httpcore.Request) -> httpcore.Response:
        """Send the request and return the response once its headers have arrived."""
        return await self._http.handle_async_request(request)

    def is_idle(self) -> bool:
        """Return whether the last exchange is complete and the connection can be reused."""
        return self._http.is_idle()
