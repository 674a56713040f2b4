"""A caller that controls every byte on its connection."""

import socket
import time

TIMEOUT_S = 15


def open_raw(address: str) -> socket.socket:
    """Return a connection to the address."""
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)), TIMEOUT_S)


def read_to_end(connection: socket.socket) -> bytes:
    """Return all bytes until the other side closes."""
    parts = []
    while part := connection.recv(65_536):
        parts.append(part)
    return b''.join(parts)


def call_raw(address: str, request: bytes) -> bytes:
    """Send the bytes and return everything that comes back until the connection closes."""
    with open_raw(address) as connection:
        connection.sendall(request)
        return read_to_end(connection)


def make_request(
    path: str, key: str, method: str = 'GET', headers: str = '', body: bytes = b''
) -> bytes:
    """Return the bytes of a request that asks the other side to close afterwards."""
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    head = f'{method} {path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n'
    return f'{head}Connection: close\r\n{length}{headers}\r\n'.encode() + body


class Stopwatch:
    """Measures the time since it was made."""

    def __init__(self) -> None:
        """Start."""
        self._started_s = time.monotonic()

    def read_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s
