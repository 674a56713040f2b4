"""Moves long-running and checkpointed work out of evacuated data centres."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from comfreywind.decisions.scheduling.evacuation_moves import (
    StayReason,
    allows_stop,
    should_move,
)
from comfreywind.decisions.scheduling.placement import compute_effective_request
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.evacuation_places import EvacuationPlaces, count_vms_for_tasks
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.place_holds import PlaceHolds
from comfreywind.scheduling.run_record import RunRecord, RunState
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.vm_availability import get_step_health

StaysByDataCentre = dict[str, Counter[StayReason]]

log = logging.getLogger('comfreywind.evacuation')


@dataclass(frozen=True, slots=True)
class _Unit:
    """Runs that are stopped together: one run, or all runs of a gang.

    `leaving` are those in an evacuated data centre that would not finish soon.
    """

    record: JobRecord
    step: Step
    runs: tuple[RunRecord, ...]
    leaving: tuple[RunRecord, ...]

    def add_leaving(self, run: RunRecord) -> '_Unit':
        """Return the unit with another run that leaves."""
        return replace(self, leaving=(*self.leaving, run))


class EvacuationMover:
    """Stops runs in evacuated data centres when there is a place for them elsewhere.

    `stays` has the runs there by data centre and reason, as of the last call of `advance`.
    """

    def __init__(
        self, scheduler_state: SchedulerState, may_start: Callable[[TargetRecord], bool]
    ) -> None:
        """Move runs of the scheduler state to targets on which `may_start` allows starts."""
        self._state = scheduler_state
        self._may_start = may_start
        self.holds = PlaceHolds(scheduler_state)
        self.stays: StaysByDataCentre = {}
        self._unplaced: dict[str, Counter[Step]] = {}
        self._places: dict[str, EvacuationPlaces] = {}
        self._all_evacuated = False
        self._now_s = float('-inf')

    def advance(
        self, data_centres: frozenset[str], all_evacuated: bool, now_s: float
    ) -> list[Order]:
        """Return the orders that stop runs there now."""
        self._now_s = now_s
        self._all_evacuated = all_evacuated
        self._unplaced.clear()
        self._places.clear()
        targets = self._state.targets.values()
        self.holds.drop_invalid(
            (target.entry.target_id for target in targets if _may_keep(target, data_centres)), now_s
        )
        self._drop_needless_holds(data_centres)
        self.stays = {data_centre: Counter() for data_centre in data_centres}
        units: dict[TaskKey, _Unit] = {}
        for target in targets:
            if _get_data_centre(target) in data_centres:
                self._sort_runs(target, units)
        return [order for unit in _sort_units(units.values()) for order in self._advance_unit(unit)]

    def count_vms_for_moves(self, pool: str) -> int:
        """Return how many empty VMs a pool lacks for long-running tasks that find no place."""
        unplaced = self._unplaced.get(pool)
        if not unplaced:
            return 0
        targets = self._state.targets.values()
        return count_vms_for_tasks(
            unplaced, (target for target in targets if target.entry.pool == pool)
        )

    def _drop_needless_holds(self, data_centres: frozenset[str]) -> None:
        """Give up the places for runs that stay, because their evacuation was taken back."""
        for key in list(self.holds.by_key):
            job = self._state.jobs.get(key.job_id)
            run = None if job is None else job.runs.get(key)
            if run is None or run.state is RunState.STOPPING:
                continue
            if _get_data_centre(self._state.targets[run.target_id]) not in data_centres:
                self.holds.release(key)

    def _sort_runs(self, target: TargetRecord, units: dict[TaskKey, _Unit]) -> None:
        """Count the runs of a target that stay, and add those that are to be moved to `units`."""
        for run in target.runs.values():
            reason = self._find_reason_to_stay(target, run)
            if reason is not None:
                self._count(run, reason)
                continue
            unit = self._make_unit(run)
            known = units.get(unit.runs[0].key)
            units[unit.runs[0].key] = unit if known is None else known.add_leaving(run)

    def _find_reason_to_stay(self, target: TargetRecord, run: RunRecord) -> StayReason | None:
        record = self._state.jobs.get(run.key.job_id)
        if record is None or not record.open or run.state is RunState.STOPPING:
            return StayReason.STOPPING
        if target.silent:
            return StayReason.UNREACHABLE
        if run.state is not RunState.RUNNING or not target.doubt.settled:
            return StayReason.UNCONFIRMED
        if not should_move(record.job.steps[run.key.step], run.progress_percent):
            return StayReason.FINISHES
        return StayReason.ALL_EVACUATED if self._all_evacuated else None

    def _make_unit(self, run: RunRecord) -> _Unit:
        record = self._state.jobs[run.key.job_id]
        keys = sorted(record.list_tasks_sharing_end(run.key))
        runs = tuple(record.runs[key] for key in keys if key in record.runs)
        return _Unit(record, record.job.steps[run.key.step], runs, (run,))

    def _advance_unit(self, unit: _Unit) -> list[Order]:
        reason = self._prepare(unit)
        for run in unit.leaving:
            self._count(run, reason)
        if reason is not StayReason.STOPPING:
            return []
        orders: list[Order] = []
        for run in unit.runs:
            log.info(
                'task %s run %d: stopped on target %s, as its data centre is evacuated; '
                'there is a place on target %s',
                run.key,
                run.run_id,
                run.target_id,
                self.holds.get_target_id(run.key),
            )
            self.holds.renew(run.key, self._now_s)
            orders.extend(self._state.stop_run(run, self._now_s))
        return orders

    def _prepare(self, unit: _Unit) -> StayReason:
        """Keep places for the runs, and return STOPPING once all of them are free."""
        if any(run.state is not RunState.RUNNING for run in unit.runs):
            return StayReason.UNCONFIRMED
        if any(self._state.targets[run.target_id].silent for run in unit.runs):
            return StayReason.UNREACHABLE
        if not self._allows_stop(unit):
            return StayReason.AVAILABILITY
        held = [self.holds.by_key.get(run.key) for run in unit.runs]
        if not all(held):
            return self._hold_places(unit)
        ready = all(hold is not None and self.holds.has_room(hold) for hold in held)
        return StayReason.STOPPING if ready else StayReason.NO_PLACE

    def _hold_places(self, unit: _Unit) -> StayReason:
        places = self._get_places(unit.record)
        found = places.find_free(unit.record, unit.runs, unit.step)
        request = compute_effective_request(unit.step)
        for run, target in zip(unit.runs, found or self._find_later(unit, places), strict=False):
            self.holds.add(run.key, target, request, self._now_s)
        return StayReason.STOPPING if found else StayReason.NO_PLACE

    def _find_later(self, unit: _Unit, places: EvacuationPlaces) -> list[TargetRecord]:
        """Return where a long-running task has a place once short tasks have ended there.

        Other tasks wait for capacity to spare.
        """
        if not unit.step.long_running or len(unit.runs) > 1:
            return []
        later = places.find_later(unit.record, unit.runs[0], unit.step)
        if later is not None:
            return [later]
        pool = self._state.get_pool(unit.record)
        self._unplaced.setdefault(pool, Counter())[unit.step] += 1
        return []

    def _allows_stop(self, unit: _Unit) -> bool:
        key = unit.runs[0].key
        if not unit.step.unavailable_limit:
            return True
        health = get_step_health(self._state, key.job_id, key.occurrence, key.step)
        at_work = sum(run.at_work for run in unit.runs)
        own = {run.key for run in unit.runs}
        moving = sum(
            run.at_work and run.key in self.holds.by_key
            for run in unit.record.runs.values()
            if run.key not in own and run.key[:3] == key[:3]
        )
        return allows_stop(health, len(unit.runs), at_work, moving + self._count_silent(unit))

    def _count_silent(self, unit: _Unit) -> int:
        """Return the number of runs of the step that no longer tell whether they are at work."""
        key = unit.runs[0].key
        return sum(
            run.at_work and self._state.targets[run.target_id].silent
            for run in unit.record.runs.values()
            if run.key[:3] == key[:3]
        )

    def _get_places(self, record: JobRecord) -> EvacuationPlaces:
        pool = self._state.get_pool(record)
        if pool not in self._places:
            self._places[pool] = EvacuationPlaces(self._state, pool, self._may_start, self._now_s)
        return self._places[pool]

    def _count(self, run: RunRecord, reason: StayReason) -> None:
        self.stays[_get_data_centre(self._state.targets[run.target_id])][reason] += 1


def _get_data_centre(target: TargetRecord) -> str:
    return target.entry.data_centre


def _may_keep(target: TargetRecord, data_centres: frozenset[str]) -> bool:
    """Return whether places on a target are kept, also while it takes no runs for a short time."""
    gone = target.leaving or target.emptying or target.silent or target.entry.draining
    return not gone and _get_data_centre(target) not in data_centres


def _sort_units(units: Iterable[_Unit]) -> list[_Unit]:
    """Return long-running work first, which serves users, then the oldest job."""
    return sorted(units, key=lambda unit: (not unit.step.long_running, unit.record.job.accepted_ms))
