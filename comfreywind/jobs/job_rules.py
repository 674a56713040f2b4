"""The rules for jobs: queues, pools, teams and API keys."""

from dataclasses import dataclass, field

from comfreywind.jobs.pool import Pool
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.team import Team


@dataclass(frozen=True, slots=True)
class JobRules:
    """One version of the rules.

    `queues`, `pools` and `teams` map names to definitions. `teams_by_key` maps a caller's API key
    to the name of its team.
    """

    version: int
    queues: dict[str, Queue] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    teams_by_key: dict[str, str] = field(default_factory=dict)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest prefix of the path, or None."""
        matching = (
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        )
        return max(matching, key=lambda queue: len(queue.prefix), default=None)
