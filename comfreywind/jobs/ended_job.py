"""The content of a job's tombstone."""

from dataclasses import dataclass

from comfreywind.jobs.job_owner import JobOwner, get_owner
from comfreywind.jobs.job_state import JobState


@dataclass(frozen=True, slots=True)
class EndedJob:
    """Owner and final state of a job, stored as its tombstone while its rows are being removed.

    The tombstone takes the place of the accepted job, so that the owner and the final state can
    still be read after the progress row has been removed.
    """

    owner: JobOwner
    state: JobState


@get_owner.register
def _get_ended_owner(ended: EndedJob) -> JobOwner:
    return ended.owner
