"""Decides which waiting tasks start now, and on which targets."""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from functools import partial

from comfreywind.decisions.scheduling.capacity_index import NO_COUNTS, CapacityIndex
from comfreywind.decisions.scheduling.placement import (
    TargetCapacity,
    choose_rack,
    compute_effective_request,
)
from comfreywind.decisions.scheduling.work_order import (
    JobUrgency,
    SortKeyFunction,
    compute_sort_key,
)
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.metrics import Metrics, NoMetrics
from comfreywind.scheduling.advice_book import AdviceBook
from comfreywind.scheduling.harm_map import HarmMap
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.orders import Order, StartOrder
from comfreywind.scheduling.planned_run import make_planned_run
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.separation_log import SeparationLog
from comfreywind.scheduling.suspect_isolation import SuspectIsolation
from comfreywind.scheduling.target_capacity import describe_capacity
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.task_image import get_image
from comfreywind.supervision import note_unexpected

# Run ids are counted from the term's first fence times this number, so that the ids of a later term
# are higher.
RUN_IDS_PER_FENCE = 1_000
NO_TARGETS: frozenset[str] = frozenset()

log = logging.getLogger('comfreywind.planner')


class Planner:
    """Plans the starts of the waiting tasks of a scheduler state.

    `advice` holds the questions to the advice service that follow from the last plan.
    """

    def __init__(
        self,
        scheduler_state: SchedulerState,
        sort_key: SortKeyFunction = compute_sort_key,
        metrics: Metrics | None = None,
        may_start: Callable[[TargetRecord, float], bool] = TargetRecord.may_start,
    ) -> None:
        """Plan for `scheduler_state`, with the jobs of a pool in the order of `sort_key`.

        `may_start` returns whether a target may get runs at a time.
        """
        self._may_start = may_start
        self._metrics = metrics or NoMetrics()
        self._sort_key = sort_key
        self._state = scheduler_state
        self.advice = AdviceBook(scheduler_state)
        self._unplaced_requests: list[Resources] = []
        self._capacity_index = CapacityIndex(())
        interference = scheduler_state.interference.estimate
        self._harm_map = HarmMap(interference, ())
        self._separations = SeparationLog(interference, self._metrics)
        self._isolation: SuspectIsolation | None = None
        self._now_s = float('-inf')

    def plan(self, now_s: float, now_ms: float) -> list[Order]:
        """Return the start orders that can be sent now, and record their runs in the state."""
        orders: list[Order] = []
        self.advice.clear_questions()
        waiting_by_pool: dict[str, list[JobRecord]] = {}
        self._now_s = now_s
        for record in list(self._state.open_jobs.values()):
            if not self._run_or_suspend(record, partial(self._unlock_steps, record, now_ms)):
                continue
            if record.waiting and record.reconciled:
                waiting_by_pool.setdefault(self._state.get_pool(record), []).append(record)
        ready = self._list_ready(waiting_by_pool.keys(), now_s)
        for pool, records in waiting_by_pool.items():
            if ready[pool]:
                orders.extend(self._plan_pool(ready[pool], records, now_ms))
        return orders

    def _list_ready(self, pools: Collection[str], now_s: float) -> dict[str, list[TargetRecord]]:
        """Return the targets by pool that may get work now, in one pass over all targets."""
        ready: dict[str, list[TargetRecord]] = {pool: [] for pool in pools}
        for target in self._state.targets.values() if ready else ():
            if target.entry.pool in ready and self._may_start(target, now_s):
                ready[target.entry.pool].append(target)
        return ready

    def _plan_pool(
        self, targets: list[TargetRecord], records: list[JobRecord], now_ms: float
    ) -> list[Order]:
        self._capacity_index = CapacityIndex(
            describe_capacity(target, self._now_s) for target in targets
        )
        self._harm_map = HarmMap(self._state.interference.estimate, targets)
        self._isolation = None
        orders: list[Order] = []
        records.sort(key=lambda record: self._sort_key(self._get_urgency(record), now_ms))
        self._unplaced_requests.clear()
        for record in records:
            starts: list[Order] = []
            if self._run_or_suspend(record, partial(self._start_waiting, record, targets, starts)):
                orders.extend(starts)
        return orders

    def _run_or_suspend(self, record: JobRecord, work: Callable[[], None]) -> bool:
        """Run a part of the plan for one job; suspend the job when that raises an error."""
        try:
            work()
        except Exception as error:
            # The next plan would fail in the same way, and no other job would be started.
            log.error(
                'job %s: planning failed, no more of its tasks are started in this term',
                record.job.job_id,
            )
            note_unexpected('planner', error, self._metrics)
            self._state.suspend_job(record, self._now_s)
            return False
        return True

    def _get_urgency(self, record: JobRecord) -> JobUrgency:
        queue = self._state.rules.queues.get(record.job.queue.name, record.job.queue)
        return JobUrgency(
            long_running=record.job.long_running,
            excess=record.excess,
            priority=queue.priority,
            accepted_ms=max(record.job.accepted_ms, record.job.first_due_ms),
            objective_ms=record.objective_ms,
            remaining_ms=record.remaining_ms,
        )

    def _start_waiting(
        self, record: JobRecord, targets: list[TargetRecord], orders: list[Order]
    ) -> None:
        by_step: dict[tuple[int, int], list[TaskKey]] = {}
        for key in record.waiting:
            by_step.setdefault((key.occurrence, key.step), []).append(key)
        # Steps that can't start at the moment, so that the plan doesn't try each of their occurrences.
        blocked: set[int] = set()
        for step_key, keys in by_step.items():
            if step_key[1] in blocked:
                continue
            allowed = self.advice.list_tickets(record, step_key, targets, self._now_s)
            orders.extend(self._start_step(record, keys, allowed))
            if any(key in record.waiting for key in keys):
                self.advice.ask(record, step_key, targets, self._now_s)
                if self._is_blocked(record, step_key[1]):
                    blocked.add(step_key[1])

    def _start_step(
        self, record: JobRecord, keys: list[TaskKey], allowed: Collection[str] | None
    ) -> list[Order]:
        if record.job.steps[keys[0].step].gang:
            return self._start_gang(record, keys, allowed)
        return self._start_tasks(record, keys, allowed)

    def _is_blocked(self, record: JobRecord, number: int) -> bool:
        """Return whether this plan can't start any more tasks of a step, of any occurrence.

        For a step with advice each occurrence has questions of its own to ask.
        """
        if record.job.queue.advice_validity_ms:
            return False
        return not self._may_start_step(record, record.job.steps[number])

    def _may_start_step(self, record: JobRecord, step: Step) -> bool:
        within_ceiling = self._state.may_use(record.job.team, step.request)
        return within_ceiling and not self._is_unplaceable(step)

    def _start_tasks(
        self, record: JobRecord, keys: list[TaskKey], allowed: Collection[str] | None
    ) -> list[Order]:
        orders: list[Order] = []
        for key in keys:
            run_id = self._find_run_id(record, [key])
            if key in record.suspects:
                order = self._start_suspect(record, key, run_id, allowed)
            else:
                order = self._start_task(record, key, run_id, allowed)
            if order is not None:
                orders.append(order)
            elif not self._is_narrowed(record, key):
                break
        return orders

    def _is_narrowed(self, record: JobRecord, key: TaskKey) -> bool:
        """Return whether a task has fewer targets to choose from than others of its step."""
        return key in record.suspects or self._is_bound(key)

    def _start_suspect(
        self, record: JobRecord, key: TaskKey, run_id: int, allowed: Collection[str] | None
    ) -> StartOrder | None:
        """Start a task that may crash its target where the fewest runs would be lost.

        All other runs there have made progress, so that a crash can be blamed on this one.
        """
        targets = self._state.targets
        if self._isolation is None:
            pool = self._state.get_pool(record)
            self._isolation = SuspectIsolation(targets.values(), pool, self._now_s)
        if not self._isolation.has_room():
            return None
        candidates = [
            targets[capacity.target_id]
            for capacity in self._capacity_index
            if not targets[capacity.target_id].has_runs_without_progress()
        ]
        for target in sorted(candidates, key=_compute_crash_cost):
            target_id = target.entry.target_id
            if allowed is not None and target_id not in allowed:
                continue
            order = self._start_task(record, key, run_id, (target_id,))
            if order is not None:
                self._isolation.record_start()
                return order
        return None

    def _start_gang(
        self, record: JobRecord, keys: list[TaskKey], allowed: Collection[str] | None
    ) -> list[Order]:
        """Return the starts of all tasks of a gang with one run id, or no starts.

        A gang of which an earlier run has not ended everywhere waits, because its tasks can only
        work with tasks of the same run.
        """
        step = record.job.steps[keys[0].step]
        if len(keys) < step.task_count:
            return []
        within = self._narrow_to_rack(step, allowed) if step.same_rack else allowed
        run_id = self._find_run_id(record, keys)
        unplaced_count_before = len(self._unplaced_requests)
        orders: list[StartOrder] = []
        for key in keys:
            order = self._start_task(record, key, run_id, within)
            if order is None:
                self._undo_starts(record, orders)
                # The capacity that the members had reserved is free for other tasks again.
                del self._unplaced_requests[unplaced_count_before:]
                return []
            orders.append(order)
        return list(orders)

    def _undo_starts(self, record: JobRecord, orders: Iterable[StartOrder]) -> None:
        """Undo starts whose orders were not sent."""
        for order in orders:
            record.last_run_ids[order.key] = order.run_id - 1
            self._state.discard_run(record.runs[order.key])
            self._state.requeue(order.key)
            self._update_capacity(order.target_id)

    def _start_task(
        self,
        record: JobRecord,
        key: TaskKey,
        run_id: int,
        allowed: Collection[str] | None,
    ) -> StartOrder | None:
        step = record.job.steps[key.step]
        if not self._may_start_step(record, step):
            return None
        allowed = self._narrow_to_open_start(key, allowed)
        avoided = record.failed_on.get(key, NO_TARGETS)
        spread = step.target_limit or step.unavailable_limit
        same_step = self._count_same_step(record, key) if spread else NO_COUNTS
        chosen = self._choose_target(record, key, avoided, same_step, allowed)
        if chosen is None:
            advised = bool(record.job.queue.advice_validity_ms)
            self._record_unplaced(step, advised or self._is_narrowed(record, key))
            return None
        self._add_run(record, key, run_id, chosen.target_id)
        self._update_capacity(chosen.target_id)
        advice = record.advice.get((key.occurrence, key.step))
        return StartOrder(
            chosen.target_id,
            key,
            run_id,
            record.job.spec,
            record.get_checkpoint(key),
            '' if advice is None else advice.get_ticket(chosen.target_id),
        )

    def _choose_target(
        self,
        record: JobRecord,
        key: TaskKey,
        avoided: Collection[str],
        same_step: Mapping[str, int],
        allowed: Collection[str] | None,
    ) -> TargetCapacity | None:
        """Return the best target for a task; tell when it is another because of interference."""
        step = record.job.steps[key.step]
        image = get_image(record.job, key.step)
        levels = self._harm_map.get_levels(image)
        choose = partial(self._capacity_index.choose, step, avoided, same_step, allowed)
        chosen = choose(levels)
        nearest = choose() if levels else chosen
        if chosen is not None and nearest is not None and nearest != chosen:
            passed_over = self._state.targets[nearest.target_id]
            self._separations.record_start(key, image, chosen.target_id, passed_over, self._now_s)
        return chosen

    def _is_bound(self, key: TaskKey) -> bool:
        """Return whether an earlier start order binds the task to one target."""
        return self._state.open_starts.find_target(key, self._now_s) is not None

    def _narrow_to_open_start(
        self, key: TaskKey, allowed: Collection[str] | None
    ) -> Collection[str] | None:
        """Return the one target to which an open start order binds the task, if it is allowed."""
        bound_to = self._state.open_starts.find_target(key, self._now_s)
        if bound_to is None:
            return allowed
        return (bound_to,) if allowed is None or bound_to in allowed else NO_TARGETS

    def _is_unplaceable(self, step: Step) -> bool:
        """Return whether this plan found no target for a request that is not larger."""
        request = compute_effective_request(step)
        return any(unplaced.fits(request) for unplaced in self._unplaced_requests)

    def _record_unplaced(self, step: Step, choice_is_narrowed: bool) -> None:
        """Record a request that fits on no target, unless more than capacity limits the step."""
        narrowed = step.required_label or step.target_limit or step.same_rack
        if not narrowed and not choice_is_narrowed:
            self._unplaced_requests.append(compute_effective_request(step))

    def _update_capacity(self, target_id: str) -> None:
        """Update the index after the free capacity of a target has changed."""
        target = self._state.targets[target_id]
        self._harm_map.update(target)
        if self._may_start(target, self._now_s):
            self._capacity_index.replace(describe_capacity(target, self._now_s))
        else:
            self._capacity_index.remove(target_id)

    def _find_run_id(self, record: JobRecord, keys: list[TaskKey]) -> int:
        first = (self._state.first_fence - 1) * RUN_IDS_PER_FENCE
        return 1 + max(record.last_run_ids.get(key, first) for key in keys)

    def _add_run(self, record: JobRecord, key: TaskKey, run_id: int, target_id: str) -> None:
        record.last_run_ids[key] = run_id
        del record.waiting[key]
        run = make_planned_run(record, key, run_id, target_id, self._now_s)
        self._state.add_run(run, record)

    def _unlock_steps(self, record: JobRecord, now_ms: float) -> None:
        for step_key in record.list_unlockable(now_ms):
            record.unlocked.add(step_key)
            occurrence, number = step_key
            for index in range(record.job.steps[number].task_count):
                self._state.requeue(TaskKey(record.job.job_id, occurrence, number, index))

    def _narrow_to_rack(
        self, step: Step, allowed: Collection[str] | None
    ) -> Collection[str] | None:
        """Return the allowed targets of a rack that fits all tasks, or `allowed` without one."""
        candidates = [
            candidate
            for candidate in self._capacity_index
            if allowed is None or candidate.target_id in allowed
        ]
        rack = choose_rack(step, candidates)
        if rack is None:
            return allowed
        return {candidate.target_id for candidate in candidates if rack in candidate.labels}

    def _count_same_step(self, record: JobRecord, key: TaskKey) -> Mapping[str, int]:
        counts: dict[str, int] = {}
        for run in record.runs.values():
            if (run.key.occurrence, run.key.step) == (key.occurrence, key.step):
                counts[run.target_id] = counts.get(run.target_id, 0) + 1
        return counts


def _compute_crash_cost(target: TargetRecord) -> tuple[int, int]:
    """Return the sort key of a target by what a crash of it would end."""
    long_running_count = sum(run.long_running for run in target.runs.values())
    return (long_running_count, len(target.runs))
