"""A job as it was accepted from a caller."""

from dataclasses import dataclass

from comfreywind.jobs.queue import Queue
from comfreywind.jobs.step import Step


@dataclass(frozen=True, slots=True)
class Job:
    """A submitted job together with the settings of its queue at the time of acceptance.

    `occurrence_count` is 0 for a job that is not scheduled by time: it runs its steps once, as
    occurrence 0. `accepted_ms` and `first_due_ms` are milliseconds since 1970; `interval_ms` is the
    time between the due times of two occurrences.
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
        """Return whether any step is long-running, so that the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    def count_occurrences(self) -> int:
        """Return how many times the steps run: at least once."""
        return max(self.occurrence_count, 1)

    def compute_due_ms(self, occurrence: int) -> int:
        """Return the earliest start of the occurrence, or 0 for a job not scheduled by time."""
        if not self.occurrence_count:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms
