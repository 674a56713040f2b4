"""States of a job."""

import enum


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def final(self) -> bool:
        """Return whether the job has ended: its state never changes again."""
        return self in FINAL_STATES


FINAL_STATES = frozenset((JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED))
