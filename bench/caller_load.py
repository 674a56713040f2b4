"""Callers that send requests in a loop."""

import threading
import time
from collections import Counter
from types import TracebackType

import httpcore

from bench.caller import call_entry

# Bounds a loop that is not stopped.
RUN_LIMIT_S = 120
OUTCOME_NONE = 'no response'


class CallerLoad:
    """Sends requests to some entries from threads until the context ends."""

    def __init__(self, addresses: list[str], path: str, key: str, callers_count: int = 4) -> None:
        """Send from so many callers, each to the entries in turn."""
        self._addresses = addresses
        self._path = path
        self._key = key
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(index,)) for index in range(callers_count)
        ]
        self._lock = threading.Lock()
        self.outcomes: Counter[str] = Counter()
        self.latencies_s: list[float] = []

    def __enter__(self) -> 'CallerLoad':
        """Start the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the callers and wait for their last responses."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _run(self, index: int) -> None:
        deadline_s = time.monotonic() + RUN_LIMIT_S
        while not self._ended.is_set() and time.monotonic() < deadline_s:
            index += 1
            started_s = time.monotonic()
            outcome = self._call(self._addresses[index % len(self._addresses)])
            with self._lock:
                self.outcomes[outcome] += 1
                self.latencies_s.append(time.monotonic() - started_s)

    def _call(self, address: str) -> str:
        try:
            return call_entry(address, self._path, self._key).outcome
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return OUTCOME_NONE
