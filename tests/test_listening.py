"""A burst of connections, larger than what one turn of the event loop accepts."""

import selectors
import socket
import time

from comfreywind.listening import open_listening_socket
from comfreywind.settings.address import Address

BURST_COUNT = 400
CONNECT_LIMIT_S = 2


def test_burst_of_connections_while_busy() -> None:
    """Guards against connections dropped while the process is too busy to accept them."""
    listener = open_listening_socket(Address('127.0.0.1', 0))
    clients = [socket.socket() for _ in range(BURST_COUNT)]
    selector = selectors.DefaultSelector()
    try:
        for client in clients:
            client.setblocking(False)
            client.connect_ex(listener.getsockname())
            selector.register(client, selectors.EVENT_WRITE)
        deadline_s = time.monotonic() + CONNECT_LIMIT_S
        while selector.get_map() and time.monotonic() < deadline_s:
            for key, _ in selector.select(0.1):
                selector.unregister(key.fileobj)
        assert len(selector.get_map()) == 0, 'connections that were not established'
    finally:
        selector.close()
        for opened in (listener, *clients):
            opened.close()
