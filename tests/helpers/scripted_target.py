"""A target that answers every request with fixed bytes and closes."""

import socketserver
import threading
from types import TracebackType

from bench.ports import PORTS


class ScriptedTarget:
    """Serves on loopback in a thread; use it as a context manager."""

    def __init__(self, answer: bytes) -> None:
        """Choose a port and listen."""
        self.requests_count = 0
        self.answer = answer
        target = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                if self.request.recv(65_536):
                    target.requests_count += 1
                    self.request.sendall(target.answer)

        port = PORTS.find_free()
        self.address = f'127.0.0.1:{port}'
        self._server = socketserver.ThreadingTCPServer(('127.0.0.1', port), Handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.05,))

    def __enter__(self) -> 'ScriptedTarget':
        """Start to answer."""
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()
