"""Connections of the load tool to one entry."""

import httpcore

IDLE_LIMIT = 1000


class LoadConnections:
    """One request for each connection at a time; the connection used last is used first.

    httpcore's pool searches all its connections for each request, which takes too long with
    thousands of them.
    """

    def __init__(self, address: str) -> None:
        """Open nothing yet."""
        host, _, port = address.rpartition(':')
        self.origin = httpcore.Origin(b'http', host.encode(), int(port))
        self._idle: list[httpcore.AsyncHTTPConnection] = []

    def take(self) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
        return httpcore.AsyncHTTPConnection(self.origin)

    async def give_back(self, connection: httpcore.AsyncHTTPConnection) -> None:
        """Keep the connection if it can be used again."""
        if connection.is_available() and len(self._idle) < IDLE_LIMIT:
            self._idle.append(connection)
            return
        await connection.aclose()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().aclose()
