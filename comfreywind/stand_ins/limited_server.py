"""Serves an ASGI app on a limited number of connections, as an executor does."""

from functools import partial

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from comfreywind.http.asgi_types import AsgiApp
from comfreywind.settings.address import Address
from comfreywind.stand_ins.connection_log import ConnectionLog

KEEP_ALIVE_S = 75


class LimitedServer:
    """Closes every connection beyond the limit at once.

    Hypercorn has no such limit, so its handler of one connection is used with an accept loop of its
    own.
    """

    def __init__(self, app: AsgiApp, name: str, limit: int, log: ConnectionLog) -> None:
        """Serve `app` for the executor `name`."""
        self._app = ASGIWrapper(app)  # type: ignore[arg-type]
        self._name = name
        self._limit = limit
        self._log = log
        self._config = Config()
        self._config.keep_alive_timeout = KEEP_ALIVE_S
        self._config.loglevel = 'WARNING'
        self._context = WorkerContext(None)

    async def serve(
        self, address: Address, shutdown: trio.Event, graceful_timeout_s: float
    ) -> None:
        """Serve until `shutdown` is set, then finish requests within the timeout."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        async with trio.open_nursery() as connections:
            serve = partial(
                trio.serve_listeners, self._serve_connection, listeners, handler_nursery=connections
            )
            async with trio.open_nursery() as accepting:
                accepting.start_soon(serve)
                await shutdown.wait()
                accepting.cancel_scope.cancel()
            await self._context.terminated.set()
            connections.cancel_scope.deadline = trio.current_time() + graceful_timeout_s

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if not self._log.open(self._name, self._limit):
            await stream.aclose()
            return
        state = ConnectionState({})
        try:
            await TCPServer(self._app, self._config, self._context, state, stream)  # type: ignore
        finally:
            self._log.close(self._name)
