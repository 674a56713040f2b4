"""One connection to a target."""

import httpcore

from comfreywind.entry.target_stream import TargetStream


class TargetConnection:
    """A connection that serves one exchange at a time; it can be kept after a whole answer."""

    def __init__(self, stream: TargetStream, origin: httpcore.Origin, generation: int) -> None:
        """Start the HTTP state of a new connection."""
        self.stream = stream
        self.generation = generation
        self.reused = False
        self.idle_since_s: float = 0
        self._http = httpcore.AsyncHTTP11Connection(origin, stream)

    async def send(self, request: httpcore.Request) -> httpcore.Response:
        """Send the request and return the answer once its headers are there."""
        return await self._http.handle_async_request(request)

    def is_idle(self) -> bool:
        """Return whether the last exchange is complete and left the connection open."""
        return self._http.is_idle()
