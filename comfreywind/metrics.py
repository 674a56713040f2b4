"""Metrics by statsd over UDP; sending never blocks the request path."""

from typing import Protocol

import statsd

from comfreywind.settings.address import Address

PREFIX = 'comfreywind'
MILLISECONDS_PER_SECOND = 1000


class Metrics(Protocol):
    """Counts events and records durations and levels."""

    def count(self, name: str) -> None:
        """Count one event."""

    def record_duration(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds."""

    def set_level(self, name: str, level: float) -> None:
        """Record the present level of something."""


class NoMetrics:
    """Used when the settings name no statsd address."""

    def count(self, name: str) -> None:
        """Count nothing."""

    def record_duration(self, name: str, duration_s: float) -> None:
        """Record nothing."""

    def set_level(self, name: str, level: float) -> None:
        """Record nothing."""


class StatsdMetrics:
    """Sends each metric as one UDP datagram."""

    def __init__(self, address: Address) -> None:
        """Open the socket."""
        self._client = statsd.StatsClient(address.host, address.port, prefix=PREFIX)

    def count(self, name: str) -> None:
        """Count one event."""
        self._client.incr(name)

    def record_duration(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds; statsd timers are in milliseconds."""
        self._client.timing(name, duration_s * MILLISECONDS_PER_SECOND)

    def set_level(self, name: str, level: float) -> None:
        """Record a gauge."""
        self._client.gauge(name, level)


def make_metrics(address: Address | None) -> Metrics:
    """Return the metrics for the statsd address of the settings, if there is one."""
    return NoMetrics() if address is None else StatsdMetrics(address)
