"""The newest decisions of this process."""

from collections import deque

from comfreywind.clock import Clock
from comfreywind.report.decision_record import DecisionRecord

CAPACITY_RECORDS = 2000


class DecisionLog:
    """Keeps a bounded number of decisions, newest last."""

    def __init__(self, clock: Clock, capacity_records: int = CAPACITY_RECORDS) -> None:
        """Start empty."""
        self._clock = clock
        self._records: deque[DecisionRecord] = deque(maxlen=capacity_records)

    def record(self, kind: str, subject: str, cause: str, **inputs: object) -> None:
        """Keep a decision; the oldest one is dropped when the log is full."""
        texts = {name: str(figure) for name, figure in inputs.items()}
        self._records.append(DecisionRecord(self._clock.read_utc(), kind, subject, cause, texts))

    def find(self, subject: str) -> list[DecisionRecord]:
        """Return the decisions about the subject, oldest first."""
        return [record for record in self._records if record.subject == subject]
