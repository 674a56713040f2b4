"""A target as the holder knows it."""

from dataclasses import dataclass, field

from comfreywind.jobs.resources import NO_RESOURCES, Resources
from comfreywind.jobs.target_entry import TargetEntry
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.run_record import RunRecord


@dataclass(slots=True)
class TargetRecord:
    """What runs on a target and how well it answers; times on the holder's steady clock.

    `applied_number` is the highest end that the holder has seen, `stored_number` the highest whose
    consequences the store holds, and `acknowledged_number` the highest that the target was told. `lease_end_s` is when
    everything there has certainly lapsed. `rostered` tells that the row for a later holder names
    the target, without which nothing may be started on it. `due` marks a VM of an open wave of
    upkeep.
    """

    entry: TargetEntry
    runs: dict[TaskKey, RunRecord] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    born_ms: int = 0
    applied_number: int = 0
    stored_number: int = 0
    acknowledged_number: int = 0
    reported: bool = False
    rostered: bool = False
    maintenance_due: bool = False
    silent: bool = False
    lease_end_s: float = 0
    barred_until_s: float = 0
    failure_streak: int = 0
    leaving: bool = False
    emptying: bool = False

    @property
    def free(self) -> Resources:
        """Return the room that is left."""
        return self.entry.capacity.subtract(self.used)

    def may_start(self, now_s: float) -> bool:
        """Return whether new work may be given to the target at this moment."""
        return self.rostered and self.is_usable(now_s)

    def is_usable(self, now_s: float) -> bool:
        """Return whether the target takes new work once the roster names it."""
        unavailable = self.entry.draining or self.leaving or self.emptying
        unheard = self.silent or not self.reported
        # After a row of failures one task shows whether the target works again.
        short_runs = not all(run.lasting for run in self.runs.values())
        probing = self.failure_streak > 1 and short_runs
        return not (unavailable or unheard or probing) and now_s >= self.barred_until_s

    def add_run(self, run: RunRecord) -> None:
        """Count a run against the room."""
        self.runs[run.key] = run
        self.used = self.used.add(run.room)

    def remove_run(self, run: RunRecord) -> None:
        """Free the room of a run."""
        if self.runs.get(run.key) is run:
            del self.runs[run.key]
            self.used = self.used.subtract(run.room)
