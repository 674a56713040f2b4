"""Finds free ports on loopback."""

import itertools
import os
import socket

FIRST_PORT = 11000
PORTS_PER_WORKER = 1500


class PortAllocator:
    """Hands out ports below the ephemeral range, from a range of its own for each test worker."""

    def __init__(self) -> None:
        """Choose the range by the number of the pytest worker, if there is one."""
        worker_name = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
        worker = int(worker_name.removeprefix('gw')) % 12
        first = FIRST_PORT + worker * PORTS_PER_WORKER
        self._candidates = itertools.cycle(range(first, first + PORTS_PER_WORKER))

    def find_free(self) -> int:
        """Return the next port that nothing listens on."""
        for port in self._candidates:
            if _is_free(port):
                return port
        raise RuntimeError('no free port')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


PORTS = PortAllocator()
