"""Metrics that are fetched over HTTP in the text format of Prometheus."""

import re

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
    generate_latest,
)

from comfreywind.http.asgi_reply import send_reply
from comfreywind.http.asgi_types import Receive, Scope, Send
from comfreywind.metrics import PREFIX

# Calls on loopback take under a millisecond, the longest deadline of a call is some seconds.
DURATION_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)
CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'
NOT_IN_NAMES = re.compile('[^a-zA-Z0-9_]')

# Times at which metrics came into being, a third of the text otherwise.
disable_created_metrics()  # type: ignore[no-untyped-call]


class ExposedMetrics:
    """Keeps counters, duration histograms and levels, and serves them as an ASGI app.

    A metric comes into being when it is first used; dots in its name become underscores. Names that
    become the same, such as those of two queues, share a metric.
    """

    def __init__(self) -> None:
        """Start without any metric."""
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        self._gauges: dict[str, Gauge] = {}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve all metrics, whatever the path is."""
        await send_reply(send, 200, [(b'content-type', CONTENT_TYPE)], self.render())

    def render(self) -> bytes:
        """Return all metrics as text."""
        text: bytes = generate_latest(self._registry)
        return text

    def count(self, name: str) -> None:
        """Count one event."""
        spelled = _spell(name)
        counter = self._counters.get(spelled)
        if counter is None:
            counter = Counter(spelled, name, registry=self._registry)
            self._counters[spelled] = counter
        counter.inc()

    def record_duration(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            spelled = f'{_spell(name)}_seconds'
            histogram = Histogram(spelled, name, registry=self._registry, buckets=DURATION_BOUNDS_S)
            self._histograms[name] = histogram
        histogram.observe(duration_s)

    def set_level(self, name: str, level: float) -> None:
        """Record the present level of something."""
        spelled = _spell(name)
        gauge = self._gauges.get(spelled)
        if gauge is None:
            gauge = Gauge(spelled, name, registry=self._registry)
            self._gauges[spelled] = gauge
        gauge.set(level)


def _spell(name: str) -> str:
    return f'{PREFIX}_{NOT_IN_NAMES.sub("_", name)}'
