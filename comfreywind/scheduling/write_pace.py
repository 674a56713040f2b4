"""Limits how often the progress of one job is written, where writing it is expensive or futile."""

# Compressing a row of 5,000 tasks takes 10 to 40 ms of the holder's processor, several times that if
# parts have to be left out. Other rows are written as often as they change.
COMPACT_PAUSE_S = 0.25
REDUCED_PAUSE_S = 1.0
# The store would reject the same row again, but the next one may be smaller.
REJECTED_PAUSE_S = 2.0


class WritePace:
    """When each job may be written next, on the clock of the caller."""

    def __init__(self) -> None:
        """Let every job be written at once."""
        self._due_s: dict[str, float] = {}

    def is_due(self, job_id: str, now_s: float) -> bool:
        """Return whether the job may be written."""
        return now_s >= self._due_s.get(job_id, now_s)

    def delay(self, job_id: str, until_s: float) -> None:
        """Let the job be written at `until_s` at the earliest."""
        self._due_s[job_id] = until_s

    def forget_due(self, now_s: float) -> None:
        """Forget the jobs that may be written again, so that only few are remembered."""
        if self._due_s:
            self._due_s = {job_id: due_s for job_id, due_s in self._due_s.items() if due_s > now_s}
