"""Opens listening sockets and reports failures as errors of the project."""

import socket

from comfreywind.errors import ListenError
from comfreywind.settings.address import Address

# Connections that wait to be accepted; Linux drops the packets of those beyond it, and the
# caller gets a reset or no reply.
BACKLOG_COUNT = 1024


def open_listening_socket(address: Address, backlog: int = BACKLOG_COUNT) -> socket.socket:
    """Return a non-blocking TCP socket that listens; raise ListenError when it can't."""
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        _listen(listener, address, backlog)
    except OSError as error:
        listener.close()
        raise ListenError(f"can't listen on {address}: {error.strerror}") from error
    return listener


def _listen(listener: socket.socket, address: Address, backlog: int) -> None:
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit the option; replies are small and must not wait for more data.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((address.host, address.port))
    listener.listen(backlog)
    listener.setblocking(False)
