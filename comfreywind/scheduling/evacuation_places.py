"""Finds places outside of the evacuated data centres for tasks that are to be moved."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace

from comfreywind.decisions.scheduling.capacity_index import CapacityIndex
from comfreywind.decisions.scheduling.evacuation_moves import MIN_LEFT_MS
from comfreywind.decisions.scheduling.placement import (
    TargetCapacity,
    compute_effective_request,
    count_slots,
)
from comfreywind.decisions.scheduling.work_order import estimate_task_ms
from comfreywind.jobs.resources import Resources, sum_resources
from comfreywind.jobs.step import Step
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.run_record import RunRecord
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_capacity import describe_capacity
from comfreywind.scheduling.target_record import TargetRecord

# With more waiting tasks than this, capacity that is free now is soon taken.
WAITING_LIMIT = 200
NO_TARGETS: frozenset[str] = frozenset()


class EvacuationPlaces:
    """The places of one pool at one moment; each one that is found counts as taken from then on.

    Waiting tasks come first: long-running ones before all others, and short ones before tasks that
    are moved only to where there is capacity to spare.
    """

    def __init__(
        self,
        scheduler_state: SchedulerState,
        pool: str,
        may_start: Callable[[TargetRecord], bool],
        now_s: float,
    ) -> None:
        """Use the targets of the pool on which tasks may be started."""
        self._state = scheduler_state
        self._targets = [
            target
            for target in scheduler_state.targets.values()
            if target.entry.pool == pool and may_start(target)
        ]
        self._waiting = [
            record
            for record in scheduler_state.open_jobs.values()
            if record.waiting and scheduler_state.get_pool(record) == pool
        ]
        self._free = CapacityIndex(describe_capacity(target, now_s) for target in self._targets)
        self._later = CapacityIndex(
            describe_capacity(target, now_s, self._compute_later_free(target))
            for target in self._targets
        )
        self._short_tasks_placed = False
        self._crowded = False
        self._place_waiting(long_running=True)

    def list_targets(self) -> list[str]:
        """Return the ids of the targets on which tasks may be started."""
        return [target.entry.target_id for target in self._targets]

    def find_free(
        self, record: JobRecord, runs: Collection[RunRecord], step: Step
    ) -> list[TargetRecord]:
        """Return a target with free capacity for each of the runs, or nothing if one has none."""
        if not step.long_running:
            self._place_short_tasks()
            if self._crowded:
                return []
        counts = _count_others(record, runs)
        before = list(self._free)
        found: list[TargetRecord] = []
        for run in runs:
            avoided = record.failed_on.get(run.key, NO_TARGETS)
            chosen = self._free.choose(step, avoided, counts)
            if chosen is None:
                # The places of the other members of the gang are free again.
                self._free = CapacityIndex(before)
                return []
            found.append(self._state.targets[chosen.target_id])
            counts[chosen.target_id] = counts.get(chosen.target_id, 0) + 1
            _take(self._free, chosen, step)
        return found

    def find_later(self, record: JobRecord, run: RunRecord, step: Step) -> TargetRecord | None:
        """Return a target that has capacity for the run once the short tasks there have ended."""
        chosen = self._later.choose(step, (), _count_others(record, (run,)))
        if chosen is None:
            return None
        _take(self._later, chosen, step)
        return self._state.targets[chosen.target_id]

    def _compute_later_free(self, target: TargetRecord) -> Resources:
        ending = sum_resources(run.reserved for run in target.runs.values() if self._ends_soon(run))
        return target.free.add(ending)

    def _ends_soon(self, run: RunRecord) -> bool:
        record = self._state.jobs.get(run.key.job_id)
        if record is None or not record.open:
            return True
        step = record.job.steps[run.key.step]
        return not step.long_running and estimate_task_ms(step) <= MIN_LEFT_MS

    def _place_short_tasks(self) -> None:
        if not self._short_tasks_placed:
            self._short_tasks_placed = True
            count = sum(len(record.waiting) for record in self._waiting)
            self._crowded = count > WAITING_LIMIT
            if not self._crowded:
                self._place_waiting(long_running=False)

    def _place_waiting(self, long_running: bool) -> None:
        steps = (
            record.job.steps[key.step]
            for record in self._waiting
            if record.job.long_running is long_running
            for key in record.waiting
        )
        for step in steps:
            for index in (self._free, self._later):
                chosen = index.choose(step)
                if chosen is not None:
                    _take(index, chosen, step)


def _take(index: CapacityIndex, chosen: TargetCapacity, step: Step) -> None:
    free = chosen.free.subtract(compute_effective_request(step))
    index.replace(replace(chosen, free=free))


def _count_others(record: JobRecord, runs: Collection[RunRecord]) -> dict[str, int]:
    """Return the number of other runs of the same step by target."""
    moved = {run.key for run in runs}
    step_keys = {(key.occurrence, key.step) for key in moved}
    counts: dict[str, int] = {}
    for run in record.runs.values():
        if run.key not in moved and (run.key.occurrence, run.key.step) in step_keys:
            counts[run.target_id] = counts.get(run.target_id, 0) + 1
    return counts


def count_vms_for_tasks(counts: Mapping[Step, int], targets: Iterable[TargetRecord]) -> int:
    """Return how many empty VMs of the largest size among the targets the tasks need."""
    capacities = [target.entry.capacity for target in targets]
    vms = 0
    for step, count in counts.items():
        request = compute_effective_request(step)
        slots = max((count_slots(request, capacity) for capacity in capacities), default=1)
        vms += math.ceil(count / max(1, min(slots, step.target_limit or slots)))
    return vms
