"""A VM in the lab, with what runs on it."""

from dataclasses import dataclass, field

from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import ActiveRun, EndedRun, TargetReport
from comfreywind.jobs.task_key import TaskKey
from comfreywind.jobs.vm import Vm


@dataclass(slots=True)
class EmulatedVm:
    """A VM; each life of it is another target."""

    name: str
    pool: str
    capacity: Resources
    rack: str
    up: bool = True
    life: int = 0
    arrival_s: float = 0
    runs: dict[TaskKey, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    end_count: int = 0

    @property
    def target_id(self) -> str:
        """Return the id of the present life."""
        return f'{self.name}.{self.life}'

    def describe(self) -> Vm:
        """Return the VM as the platform lists it."""
        labels = frozenset((self.rack,))
        return Vm(self.name, self.pool, self.up, 'lab', labels, self.capacity, self.target_id)

    def report(self, now_ms: int) -> TargetReport:
        """Return the lists of runs, and forget the ends."""
        active = tuple(ActiveRun(key, run_id, '', 50, 0) for key, run_id in self.runs.items())
        ended = tuple(self.ended)
        self.ended.clear()
        return TargetReport(now_ms, 1, active, ended)
