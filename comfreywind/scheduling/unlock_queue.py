"""The occurrences of a job that may have steps to unlock."""

from comfreywind.jobs.job import Job

# Steps examined in one plan for one job. A job may have 5,000, and a plan must end well within a term
# also while many such jobs become due at once. The rest follows in the next plans.
STEPS_PER_PLAN = 200


class UnlockQueue:
    """Due occurrences that were not examined since they became due, or since a step of them ended.

    All steps of all occurrences are examined once and after each end of a step, not in each plan.
    """

    def __init__(self, job: Job) -> None:
        """Begin with no occurrence due."""
        self._job = job
        self._due_count = 0
        self._open: dict[int, None] = {}

    def add(self, occurrence: int) -> None:
        """Have an occurrence examined again, if it is due; otherwise it is once it becomes due."""
        if occurrence < self._due_count:
            self._open[occurrence] = None

    def take(self, now_ms: float) -> list[int]:
        """Return the next occurrences to examine, which are at least one if there is any."""
        while self._due_count < self._job.count_occurrences():
            if self._job.compute_due_ms(self._due_count) > now_ms:
                break
            self._open[self._due_count] = None
            self._due_count += 1
        limit = max(1, STEPS_PER_PLAN // max(1, len(self._job.steps)))
        taken = list(self._open)[:limit] if self._open else []
        for occurrence in taken:
            del self._open[occurrence]
        return taken
