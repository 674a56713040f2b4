"""What the tombstone of a job tells."""

from dataclasses import dataclass

from comfreywind.jobs.job_owner import JobOwner, get_owner
from comfreywind.jobs.job_state import JobState


@dataclass(frozen=True, slots=True)
class EndedJob:
    """Owner and final state of a job whose progress is removed next."""

    owner: JobOwner
    state: JobState


@get_owner.register
def _find_ended_owner(ended: EndedJob) -> JobOwner:
    return ended.owner
