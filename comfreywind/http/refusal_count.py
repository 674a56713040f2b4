"""Counts clients that were refused or closed, by port and reason."""

import logging
from collections import Counter

from comfreywind.http.close_reason import CloseReason
from comfreywind.metrics import Metrics

log = logging.getLogger('comfreywind.clients')


class RefusalCount:
    """Counts each refusal as a metric, and logs them together."""

    def __init__(self, metrics: Metrics) -> None:
        """Count with the metrics."""
        self._metrics = metrics
        self._unlogged: Counter[str] = Counter()
        self._error: Exception | None = None

    def add(self, port: str, reason: str) -> None:
        """Count one client."""
        self._metrics.count(f'client_refusals.{port}.{reason}')
        self._unlogged[f'{port}: {reason}'] += 1

    def add_error(self, port: str, error: Exception) -> None:
        """Count a client that was refused because of an unexpected error."""
        self.add(port, CloseReason.ERROR)
        self._error = error

    def log_new(self) -> None:
        """Log those that were counted since the last call, if there are any, and the last error."""
        if self._error is not None:
            log.error('unexpected error in serving a client', exc_info=self._error)
            self._error = None
        if self._unlogged:
            counts = ', '.join(f'{name} {count}' for name, count in sorted(self._unlogged.items()))
            log.warning('clients refused or closed: %s', counts)
            self._unlogged.clear()
