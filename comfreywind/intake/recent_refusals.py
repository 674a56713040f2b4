"""The jobs that a node has refused lately for scarcity, whose callers are expected back."""

from collections.abc import Iterator
from dataclasses import dataclass

from comfreywind.jobs.resources import Resources

ENTRY_LIMIT = 1000
# A caller that has not returned this long after its Retry-After asks another node or has given up.
GRACE_S = 5.0


@dataclass(frozen=True, slots=True)
class RefusedJob:
    """A refused job, its work in resources times milliseconds, and when it is forgotten."""

    job_id: str
    queue: str
    team: str
    work: Resources
    forget_s: float


class RecentRefusals:
    """Keeps up to `ENTRY_LIMIT` refusals, each until its caller has been expected for a while."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, RefusedJob] = {}

    def put(self, refused: RefusedJob) -> None:
        """Remember a refusal; the oldest one gives way when there are too many."""
        self._entries.pop(refused.job_id, None)
        while len(self._entries) >= ENTRY_LIMIT:
            del self._entries[next(iter(self._entries))]
        self._entries[refused.job_id] = refused

    def drop(self, job_id: str) -> None:
        """Forget a job that was accepted."""
        self._entries.pop(job_id, None)

    def holds(self, job_id: str, now_s: float) -> bool:
        """Return whether the job was refused lately."""
        refused = self._entries.get(job_id)
        return refused is not None and now_s < refused.forget_s

    def list_expected(self, queue: str, team: str, now_s: float) -> Iterator[RefusedJob]:
        """Return the jobs of a team in a queue that are expected back."""
        for refused in self._entries.values():
            if (refused.queue, refused.team) == (queue, team) and now_s < refused.forget_s:
                yield refused
