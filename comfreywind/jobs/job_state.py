"""States of a job."""

import enum


class JobState(enum.StrEnum):
    """What a caller is told of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def final(self) -> bool:
        """Return whether the state never changes again."""
        return self in FINAL_STATES


FINAL_STATES = frozenset((JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED))
