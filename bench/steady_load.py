"""Steady load on the loopback fleet from threads."""

import threading
import time
from collections import Counter
from types import TracebackType

import httpcore

from bench.caller import call_entry
from bench.fleet import Fleet

RETRY_S = 0.05
WAIT_S = 5
CALL_FAILURES = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class SteadyLoad:
    """Closed-loop callers of one team; use it as a context manager.

    `answered` counts the answered requests by entry.
    """

    def __init__(self, fleet: Fleet, team: str, queue: str, duration_s: float) -> None:
        """Prepare callers of requests that run for the given time."""
        self._fleet = fleet
        self._key = fleet.keys[team]
        self._path = f'/queues/{queue}/work?duration_s={duration_s}'
        self._wanted: Counter[int] = Counter()
        self._started: Counter[int] = Counter()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.answered: Counter[int] = Counter()

    def __enter__(self) -> 'SteadyLoad':
        """Start without callers."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all callers without waiting for the calls of entries that hang."""
        self._stopped.set()
        deadline_s = time.monotonic() + WAIT_S
        for thread in self._threads:
            thread.join(max(0, deadline_s - time.monotonic()))

    def set_callers(self, entry: int, count: int) -> None:
        """Let this many callers call the entry, each with one request at a time."""
        self._wanted[entry] = count
        while self._started[entry] < count:
            number = self._started[entry]
            self._started[entry] += 1
            thread = threading.Thread(target=self._run, args=(entry, number), daemon=True)
            self._threads.append(thread)
            thread.start()

    def _run(self, entry: int, number: int) -> None:
        while not self._stopped.is_set():
            if number >= self._wanted[entry] or not self._call(entry):
                time.sleep(RETRY_S)

    def _call(self, entry: int) -> bool:
        address = self._fleet.caller_addresses[entry]
        headers = {'prefer': f'wait={WAIT_S}'}
        try:
            reply = call_entry(address, self._path, self._key, headers=headers)
        except CALL_FAILURES:
            return False
        if reply.outcome != 'answered':
            return False
        self.answered[entry] += 1
        return True
