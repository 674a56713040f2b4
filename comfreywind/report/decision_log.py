"""In-memory log of the latest decisions of this process."""

from collections import deque

from comfreywind.clock import Clock
from comfreywind.report.decision_record import DecisionRecord

CAPACITY_RECORDS = 2000
KIND_REQUEST = 'request'


class DecisionLog:
    """Keeps the latest decisions and, in a separate ring buffer, the latest requests.

    Requests are too many to share a buffer with other decisions or to be flushed to the object store.
    """

    def __init__(self, clock: Clock, capacity_records: int = CAPACITY_RECORDS) -> None:
        """Create an empty log."""
        self._clock = clock
        self._records: deque[DecisionRecord] = deque(maxlen=capacity_records)
        self._requests: deque[DecisionRecord] = deque(maxlen=capacity_records)
        self._unflushed_count = 0

    def record(self, kind: str, subject: str, cause: str, **inputs: object) -> None:
        """Append a decision; the oldest one is dropped when the log is full."""
        texts = {name: str(input_value) for name, input_value in inputs.items()}
        decision = DecisionRecord(self._clock.read_utc(), kind, subject, cause, texts)
        if kind == KIND_REQUEST:
            self._requests.append(decision)
            return
        self._records.append(decision)
        self._unflushed_count = min(self._unflushed_count + 1, len(self._records))

    def find(self, subject: str) -> list[DecisionRecord]:
        """Return the decisions about the subject, oldest first."""
        return [record for record in (*self._records, *self._requests) if record.subject == subject]

    def list_unflushed(self) -> list[DecisionRecord]:
        """Return the decisions that are not yet in the object store, oldest first."""
        return list(self._records)[len(self._records) - self._unflushed_count :]

    def mark_flushed(self, count: int) -> None:
        """Mark the `count` oldest unflushed decisions as stored in the object store."""
        self._unflushed_count = max(0, self._unflushed_count - count)
