"""The jobs that a node has accepted since the last figures of the holder."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from comfreywind.jobs.resources import Resources

# Far more than a node accepts while figures are recent; beyond it the work is underestimated.
ENTRY_LIMIT = 1000


class AcceptedJob(NamedTuple):
    """An accepted job and its work in resources times milliseconds."""

    accepted_s: float
    pool: str
    team: str
    work: Resources


class RecentAcceptances:
    """Keeps the last accepted jobs."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: deque[AcceptedJob] = deque(maxlen=ENTRY_LIMIT)

    def add(self, accepted: AcceptedJob) -> None:
        """Add a job that was just stored."""
        self._entries.append(accepted)

    def list_since(self, pool: str, team: str, since_s: float) -> Iterator[AcceptedJob]:
        """Return the jobs of a team in a pool that were accepted after a time."""
        for accepted in reversed(self._entries):
            if accepted.accepted_s <= since_s:
                return
            if (accepted.pool, accepted.team) == (pool, team):
                yield accepted
