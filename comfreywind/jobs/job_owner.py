"""To whom a job belongs."""

from dataclasses import dataclass
from functools import singledispatch

from comfreywind.jobs.job import Job
from comfreywind.jobs.queue import Queue


@dataclass(frozen=True, slots=True)
class JobOwner:
    """The team that handed a job in, empty without a key, and the queue that accepted it.

    Neither changes: a key that moves to another team gives no access to the jobs of the first.
    """

    team: str
    queue: str
    host: str
    prefix: str

    def allows_access(self, team: str, queue: Queue) -> bool:
        """Return whether a caller of the team may see and cancel the job through the queue.

        On a queue that is open to all, anyone who reaches it may. A job handed in without a key
        belongs to whoever may use its queue now.
        """
        same_path = (self.host, self.prefix) == (queue.host, queue.prefix)
        if not same_path and self.queue != queue.name:
            return False
        return queue.open_to_all or self.team in {'', team}


@singledispatch
def get_owner(accepted: object) -> JobOwner:
    """Return the owner of a job, or of one of which a tombstone is left."""
    raise TypeError(f'unknown row of a job {accepted!r}')


@get_owner.register
def _find_job_owner(job: Job) -> JobOwner:
    return JobOwner(job.team, job.queue.name, job.queue.host, job.queue.prefix)
