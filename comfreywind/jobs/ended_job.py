"""What the tombstone of a job tells."""

from dataclasses import dataclass

from comfreywind.jobs.job_owner import JobOwner
from comfreywind.jobs.job_state import JobState


@dataclass(frozen=True, slots=True)
class EndedJob:
    """Owner and final state of a job whose progress is removed next."""

    owner: JobOwner
    state: JobState
