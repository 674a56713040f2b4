"""Counts of results in one time interval."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime

ServiceKey = tuple[str, str]


@dataclass(slots=True)
class ResultBucket:
    """Results by (queue, team) in the `span_s` seconds from `start`."""

    start: datetime
    span_s: int
    counts: dict[ServiceKey, Counter[str]] = field(default_factory=dict)

    def add(self, queue: str, team: str, result: str) -> None:
        """Count one result."""
        self.counts.setdefault((queue, team), Counter())[result] += 1
