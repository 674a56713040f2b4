"""Ownership of jobs and access to them."""

from dataclasses import dataclass
from functools import singledispatch

from comfreywind.jobs.job import Job
from comfreywind.jobs.queue import Queue


@dataclass(frozen=True, slots=True)
class JobOwner:
    """The team that submitted a job and the queue that accepted it.

    `team` is empty for a job submitted without a key. `queue`, `host` and `prefix` are the name and
    the address of the queue. The owner never changes: a key that is reassigned to another team
    gives no access to the jobs of its former team.
    """

    team: str
    queue: str
    host: str
    prefix: str

    def allows_access(self, team: str, queue: Queue) -> bool:
        """Return whether a caller of the team may see and cancel the job through the queue.

        The queue must have the name or the address (host and prefix) of the one that accepted the
        job, so that a renamed or moved queue still serves its jobs. On a queue that is open to all,
        every caller has access. A job submitted without a key is accessible to all teams that may
        use the queue.
        """
        same_address = (self.host, self.prefix) == (queue.host, queue.prefix)
        if not same_address and self.queue != queue.name:
            return False
        return queue.open_to_all or self.team in {'', team}


@singledispatch
def get_owner(accepted: object) -> JobOwner:
    """Return the owner of a job or of the ended job in a tombstone."""
    raise TypeError(f'expected a Job or an EndedJob, not {accepted!r}')


@get_owner.register
def _get_job_owner(job: Job) -> JobOwner:
    return JobOwner(job.team, job.queue.name, job.queue.host, job.queue.prefix)
