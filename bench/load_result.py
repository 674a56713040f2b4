"""What a load run measured."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

HIGHEST_US = 300_000_000
SIGNIFICANT_DIGITS = 3
ANSWERED = 'answered'
QUANTILES = (50, 90, 99, 99.9)


def make_histogram() -> Any:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class StreamResult:
    """Outcomes of one stream; times count from the intended send time.

    `in_time` counts the answers within the deadline. Times of answers and of refusals are apart.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    in_time: int = 0
    answered_us: Any = field(default_factory=make_histogram)
    refused_us: Any = field(default_factory=make_histogram)

    def record(self, outcome: str, latency_s: float, wait_s: float) -> None:
        """Count one request."""
        self.outcomes[outcome] += 1
        latency_us = min(HIGHEST_US, max(1, int(latency_s * 1_000_000)))
        if outcome == ANSWERED:
            self.in_time += latency_s <= wait_s
            self.answered_us.record_value(latency_us)
        elif outcome.startswith('not-run'):
            self.refused_us.record_value(latency_us)

    def add(self, other: 'StreamResult') -> None:
        """Add the counts of another result."""
        self.outcomes.update(other.outcomes)
        self.in_time += other.in_time
        self.answered_us.add(other.answered_us)
        self.refused_us.add(other.refused_us)

    def to_document(self) -> dict[str, Any]:
        """Return the result as a JSON document that `from_document` reads."""
        return {
            'outcomes': dict(self.outcomes),
            'in_time': self.in_time,
            'answered_us': self.answered_us.encode().decode(),
            'refused_us': self.refused_us.encode().decode(),
        }

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> 'StreamResult':
        """Return the result in the document."""
        return cls(
            outcomes=Counter(document['outcomes']),
            in_time=document['in_time'],
            answered_us=HdrHistogram.decode(document['answered_us'].encode()),
            refused_us=HdrHistogram.decode(document['refused_us'].encode()),
        )


@dataclass(slots=True)
class LoadResult:
    """Results by stream number, and what decides whether they are valid."""

    streams: list[StreamResult]
    planned: int = 0
    sent: int = 0
    lag_us: Any = field(default_factory=make_histogram)
    busiest_loader_ratio: float = 0
    busiest_stand_in_ratio: float = 0
    machine_ratio: float = 0
    faults: list[str] = field(default_factory=list)

    @property
    def valid(self) -> bool:
        """Return whether the figures may be used."""
        return not self.faults

    def sum_streams(self, indexes: Iterable[int]) -> StreamResult:
        """Return the sum of some streams."""
        total = StreamResult()
        for index in indexes:
            total.add(self.streams[index])
        return total


def read_quantiles_ms(histogram: Any) -> dict[str, float]:
    """Return the quantiles in milliseconds."""
    if not histogram.get_total_count():
        return {}
    return {
        f'p{quantile}_ms': histogram.get_value_at_percentile(quantile) / 1000
        for quantile in QUANTILES
    }
