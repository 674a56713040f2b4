"""A TCP relay that can be cut, to separate a process from an address."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65_536


class Relay:
    """Passes bytes between its own address and another one until `cut`."""

    def __init__(self, address: str, target_address: str) -> None:
        """Listen at the address."""
        self.address = address
        self.passed_bytes = 0
        self._target_address = _split(target_address)
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self.mend()

    def mend(self) -> None:
        """Accept connections again."""
        self._listener = socket.create_server(_split(self.address))
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def cut(self) -> None:
        """Break all connections and refuse new ones."""
        with self._lock:
            open_sockets = list(self._sockets)
            self._sockets.clear()
            if self._listener is not None:
                open_sockets.append(self._listener)
                self._listener = None
        for open_socket in open_sockets:
            _close(open_socket)

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = listener.accept()
                self._connect(near)

    def _connect(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target_address)
        except OSError:
            near.close()
            return
        with self._lock:
            self._sockets |= {near, far}
        for source, sink in ((near, far), (far, near)):
            threading.Thread(target=self._pump, args=(source, sink), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            chunk = source.recv(CHUNK_BYTES)
            while chunk:
                sink.sendall(chunk)
                with self._lock:
                    self.passed_bytes += len(chunk)
                chunk = source.recv(CHUNK_BYTES)
        with self._lock:
            self._sockets -= {source, sink}
        _close(source)
        _close(sink)


def _close(open_socket: socket.socket) -> None:
    with contextlib.suppress(OSError):
        open_socket.shutdown(socket.SHUT_RDWR)
    open_socket.close()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
