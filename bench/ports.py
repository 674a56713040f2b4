"""Finds free ports on loopback."""

import fcntl
import os
import socket
import tempfile
from pathlib import Path
from typing import TextIO

# Below the range from which the kernel takes the ports of outgoing connections.
FIRST_PORT = 11_000
PORTS_COUNT = 21_000
STEP_PER_PROCESS = 97


class PortAllocator:
    """Hands out ports that no other process of this machine's test runs uses.

    Several test runs may go on at once, and a port is bound only some time after it was chosen. So
    each port is reserved by a file lock, which the kernel releases when this process ends.
    """

    def __init__(self) -> None:
        """Start at a port that depends on the process id, to find free ones quickly."""
        self._next = os.getpid() * STEP_PER_PROCESS % PORTS_COUNT
        self._locks: list[TextIO] = []
        self._folder = Path(tempfile.gettempdir()) / 'comfreywind-ports'

    def find_free(self) -> int:
        """Return the next port that nothing listens on, and reserve it."""
        for _ in range(PORTS_COUNT):
            port = FIRST_PORT + self._next
            self._next = (self._next + 1) % PORTS_COUNT
            if self._reserve(port) and _is_free(port):
                return port
        raise RuntimeError('no free port')

    def _reserve(self, port: int) -> bool:
        self._folder.mkdir(exist_ok=True)
        lock_file = (self._folder / str(port)).open('w', encoding='utf-8')
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock_file.close()
            return False
        self._locks.append(lock_file)
        return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


PORTS = PortAllocator()
