"""An accepted job."""

from dataclasses import dataclass

from comfreywind.jobs.queue import Queue
from comfreywind.jobs.step import Step


@dataclass(frozen=True, slots=True)
class Job:
    """What a caller handed in, and the queue as it was at that moment.

    A job without occurrences has `occurrence_count` 0 and runs its steps once, as occurrence 0.
    Times are milliseconds since 1970.
    """

    job_id: str
    team: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]
    accepted_ms: int
    occurrence_count: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def long_running(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    def count_occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(self.occurrence_count, 1)

    def compute_due_ms(self, occurrence: int) -> int:
        """Return when the occurrence may start; 0 for a job that is not timed."""
        if not self.occurrence_count:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms
