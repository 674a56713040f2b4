"""Runs ASGI apps with hypercorn on trio."""

from functools import partial

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.worker_context import WorkerContext

from comfreywind.http.accept_loop import accept_connections
from comfreywind.http.asgi_types import AsgiApp, Receive, Scope, Send
from comfreywind.http.client_port import ClientPort, OpenPort
from comfreywind.http.connection_gate import ConnectionGate, OpenGate
from comfreywind.http.connection_server import ConnectionServer
from comfreywind.listening import open_listening_socket
from comfreywind.settings.address import Address

KEEP_ALIVE_S = 75


async def serve_app(
    app: AsgiApp,
    address: Address,
    shutdown: trio.Event,
    graceful_timeout_s: float = 30,
    gate: ConnectionGate | None = None,
    port: ClientPort | None = None,
) -> None:
    """Serve the app until `shutdown` is set, then finish requests within the graceful timeout.

    Connections that the gate refuses are closed at once. Without a `port` there is no limit on what
    the clients of the address take up together. Raises ListenError when the address can't be
    listened on.
    """
    config = Config()
    config.loglevel = 'WARNING'
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.include_server_header = False
    context = WorkerContext(None)
    listener = open_listening_socket(address)
    client_port = port or OpenPort()
    serve_stream = partial(
        _serve_stream,
        _serve_only_http(app),
        config,
        context,
        client_port,
    )
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                accept_connections,
                listener,
                gate or OpenGate(),
                client_port,
                serve_stream,
                connections,
            )
            await shutdown.wait()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + graceful_timeout_s


async def _serve_stream(
    app: AsgiApp,
    config: Config,
    context: WorkerContext,
    port: ClientPort | OpenPort,
    stream: trio.SocketStream,
) -> None:
    server = ConnectionServer(ASGIWrapper(app), config, context, stream, port)  # type: ignore[arg-type]
    try:
        await server
    except Exception as error:
        # An error in the parser that one client brings about must not end the process.
        port.note_error(error)


def _serve_only_http(app: AsgiApp) -> AsgiApp:
    """Return an app that leaves websockets unanswered, which the server then refuses."""

    async def serve_scope(scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] == 'http':
            await app(scope, receive, send)

    return serve_scope
