"""Accepts the connections of one listening socket."""

import errno
import logging
import socket
from collections.abc import Awaitable, Callable

import trio

from comfreywind.http.client_port import ClientPort, OpenPort
from comfreywind.http.client_refusal import make_connection_refusal
from comfreywind.http.connection_gate import ConnectionGate

# Trio's own loop accepts one connection each time the event loop comes round. While that takes
# 15 ms under load, 500 clients that come again and again kept a caller waiting for seconds.
ACCEPTED_AT_ONCE = 64
# The process or the machine has run out of descriptors or memory for a moment.
EXHAUSTED_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS))
EXHAUSTED_PAUSE_S = 0.1

ServeStream = Callable[[trio.SocketStream], Awaitable[None]]
log = logging.getLogger('comfreywind.http')


async def accept_connections(
    listener: socket.socket,
    gate: ConnectionGate,
    port: ClientPort | OpenPort,
    serve_stream: ServeStream,
    nursery: trio.Nursery,
) -> None:
    """Serve each connection in the nursery until cancelled; then close the listener.

    Those that the gate or the port does not admit are refused without a task of their own.
    """
    with listener:
        while True:
            await trio.lowlevel.wait_readable(listener)
            try:
                _accept_waiting(listener, gate, port, serve_stream, nursery)
            except OSError as error:
                await _handle_error(error)


def _accept_waiting(
    listener: socket.socket,
    gate: ConnectionGate,
    port: ClientPort | OpenPort,
    serve_stream: ServeStream,
    nursery: trio.Nursery,
) -> None:
    for _ in range(ACCEPTED_AT_ONCE):
        connection, _ = listener.accept()
        # Asked here, as tasks that are started together run in any order.
        if gate.open():
            stream = _admit(connection, gate, port)
            if stream is not None:
                nursery.start_soon(_serve_and_close, gate, port, serve_stream, stream)
        else:
            connection.close()


def _admit(
    connection: socket.socket, gate: ConnectionGate, port: ClientPort | OpenPort
) -> trio.SocketStream | None:
    """Return the stream of a connection that the port admits, or refuse the connection."""
    if port.admit():
        return trio.SocketStream(trio.socket.from_stdlib_socket(connection))
    gate.close()
    _refuse(connection)
    return None


def _refuse(connection: socket.socket) -> None:
    with connection:
        connection.setblocking(False)
        try:
            connection.send(make_connection_refusal())
        except OSError as error:
            log.debug('refusal not sent: %s', error)


async def _serve_and_close(
    gate: ConnectionGate,
    port: ClientPort | OpenPort,
    serve_stream: ServeStream,
    stream: trio.SocketStream,
) -> None:
    try:
        await serve_stream(stream)
    finally:
        _note_end(gate, port)
        await trio.aclose_forcefully(stream)


def _note_end(gate: ConnectionGate, port: ClientPort | OpenPort) -> None:
    port.leave()
    gate.close()


async def _handle_error(error: OSError) -> None:
    """Return when connections can be accepted again; raise an error of the listener itself."""
    if isinstance(error, (BlockingIOError, ConnectionAbortedError)):
        return
    if error.errno not in EXHAUSTED_ERRORS:
        raise error
    log.error('no connections are accepted for %s s: %s', EXHAUSTED_PAUSE_S, error)
    await trio.sleep(EXHAUSTED_PAUSE_S)
