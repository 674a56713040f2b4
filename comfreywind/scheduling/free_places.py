"""Finds a free target without harm for a run that may be moved."""

from collections.abc import Callable
from dataclasses import replace

from comfreywind.decisions.scheduling.capacity_index import CapacityIndex
from comfreywind.scheduling.harm_map import HarmMap
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.run_record import RunRecord
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.target_capacity import describe_capacity

NO_TARGETS: frozenset[str] = frozenset()


class FreePlaces:
    """The targets that may take a run at one moment, by pool."""

    def __init__(
        self,
        scheduler_state: SchedulerState,
        may_start: Callable[[TargetRecord, float], bool],
        now_s: float,
    ) -> None:
        """Use the targets for which `may_start` holds."""
        self._state = scheduler_state
        self._may_start = may_start
        self._now_s = now_s
        self._by_pool: dict[str, tuple[CapacityIndex, HarmMap]] = {}

    def find(self, record: JobRecord, run: RunRecord) -> str | None:
        """Return where the planner would start the task of a run that has been stopped.

        None if that is a target where the task would do or suffer harm, as it does on its own, or one
        whose VM is due for maintenance.
        """
        index, harm_map = self._get_pool(self._state.get_pool(record))
        levels = harm_map.get_levels(run.image)
        own = self._state.targets[run.target_id]
        freed = describe_capacity(own, self._now_s)
        if self._may_start(own, self._now_s):
            index.replace(replace(freed, free=freed.free.add(run.reserved)))
        chosen = index.choose(
            record.job.steps[run.key.step],
            record.failed_on.get(run.key, NO_TARGETS),
            _count_others(record, run),
            harm_levels=levels,
        )
        if self._may_start(own, self._now_s):
            index.replace(freed)
        if chosen is None or chosen.maintenance_due:
            return None
        return None if chosen.target_id in levels else chosen.target_id

    def _get_pool(self, pool: str) -> tuple[CapacityIndex, HarmMap]:
        known = self._by_pool.get(pool)
        if known is None:
            targets = [
                target
                for target in self._state.targets.values()
                if target.entry.pool == pool and self._may_start(target, self._now_s)
            ]
            known = (
                CapacityIndex(describe_capacity(target, self._now_s) for target in targets),
                HarmMap(self._state.interference.estimate, targets),
            )
            self._by_pool[pool] = known
        return known


def _count_others(record: JobRecord, run: RunRecord) -> dict[str, int]:
    """Return the number of the other runs of the step by target."""
    counts: dict[str, int] = {}
    for other in record.runs.values():
        same = (other.key.occurrence, other.key.step) == (run.key.occurrence, run.key.step)
        if same and other is not run:
            counts[other.target_id] = counts.get(other.target_id, 0) + 1
    return counts
