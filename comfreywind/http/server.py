"""Runs ASGI apps with hypercorn on trio."""

from functools import partial

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from comfreywind.http.asgi_types import AsgiApp, Receive, Scope, Send
from comfreywind.listening import open_listening_socket
from comfreywind.settings.address import Address

KEEP_ALIVE_S = 75
HEADER_LIMIT_BYTES = 32_768
REQUEST_READ_TIMEOUT_S = 30


async def serve_app(
    app: AsgiApp,
    address: Address,
    shutdown: trio.Event,
    graceful_timeout_s: float = 30,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the app until `shutdown` is set, then finish requests within the graceful timeout.

    Raises ListenError when the address can't be listened on.
    """
    config = Config()
    config.bind = [f'fd://{open_listening_socket(address).detach()}']
    config.loglevel = 'WARNING'
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = graceful_timeout_s
    config.h11_max_incomplete_size = HEADER_LIMIT_BYTES
    config.include_server_header = False
    config.alpn_protocols = ['http/1.1']
    run_server = partial(serve, shutdown_trigger=shutdown.wait, mode='asgi')
    await run_server(_add_lifespan(app), config, task_status=task_status)  # type: ignore[arg-type]


def _add_lifespan(app: AsgiApp) -> AsgiApp:
    """Return an app that answers the lifespan messages and leaves requests to `app`."""

    async def serve_scope(scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] == 'http':
            await app(scope, receive, send)
        elif scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)

    return serve_scope


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
