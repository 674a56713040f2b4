"""Decides from the board which tasks start now, and on which targets."""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from functools import partial

from comfreywind.decisions.scheduling.placement import (
    TargetCapacity,
    choose_rack,
    compute_effective_request,
)
from comfreywind.decisions.scheduling.capacity_index import NO_COUNTS, CapacityIndex
from comfreywind.decisions.scheduling.work_order import (
    SortKeyFunction,
    JobUrgency,
    compute_sort_key,
)
from comfreywind.jobs.resources import NO_RESOURCES, Resources
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.metrics import Metrics, NoMetrics
from comfreywind.scheduling.advice import Advice, AdviceRequest
from comfreywind.scheduling.board import Board
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.orders import Order, StartOrder
from comfreywind.scheduling.run_record import RunRecord, RunState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.supervision import note_unexpected

# Run ids of one term; a task that is started more often than that waits for the next term.
RUNS_PER_TERM = 1_000
# The service takes a time for each target that a question names.
TARGETS_PER_QUESTION = 30
# Left of a ticket's validity for the order to reach the target.
TICKET_MARGIN_S = 0.4
MS_PER_S = 1000
NO_TARGETS: frozenset[str] = frozenset()

log = logging.getLogger('comfreywind.planner')


class Planner:
    """Starts of the tasks that wait on a board."""

    def __init__(
        self,
        board: Board,
        order_work: SortKeyFunction = compute_sort_key,
        metrics: Metrics | None = None,
    ) -> None:
        """Plan for this board, with jobs in the order of work that the function gives."""
        self._metrics = metrics or NoMetrics()
        self._order_work = order_work
        self._board = board
        self._advice: dict[tuple[str, int, int], Advice] = {}
        self._questions: list[AdviceRequest] = []
        self._refused: list[Resources] = []
        self._rooms = CapacityIndex(())
        self._now_s = float('-inf')

    def plan(self, now_s: float, now_ms: float) -> list[Order]:
        """Return the starts that can be ordered now."""
        orders: list[Order] = []
        self._questions.clear()
        waiting_by_pool: dict[str, list[JobRecord]] = {}
        self._now_s = now_s
        for record in list(self._board.open_jobs.values()):
            if not self._try(record, partial(self._unlock_steps, record, now_ms)):
                continue
            if record.waiting and record.settled:
                waiting_by_pool.setdefault(self._board.find_pool(record), []).append(record)
        ready = self._list_ready(waiting_by_pool.keys(), now_s)
        for pool, records in waiting_by_pool.items():
            if ready[pool]:
                orders.extend(self._plan_pool(ready[pool], records, now_ms))
        return orders

    def find_question(self, now_s: float) -> AdviceRequest | None:
        """Return the first question that the last plan had to leave open."""
        for question in self._questions:
            advice = self._advice.get((question.job_id, question.occurrence, question.step))
            if advice is None or _needs_question(advice, question.target_ids, now_s):
                return question
        return None

    def note_advice(self, question: AdviceRequest, tickets: dict[str, str], asked_s: float) -> None:
        """Take in an answer; the tickets count from the question, as the service may have."""
        key = (question.job_id, question.occurrence, question.step)
        record = self._board.jobs.get(question.job_id)
        if record is None:
            return
        advice = self._advice.setdefault(key, Advice())
        advice.asked.update(question.target_ids)
        advice.tickets.update(tickets)
        validity_s = record.job.queue.advice_validity_ms / MS_PER_S
        advice.valid_until_s = asked_s + validity_s - TICKET_MARGIN_S

    def _list_ready(self, pools: Collection[str], now_s: float) -> dict[str, list[TargetRecord]]:
        """Return the targets of each pool that may get work now, in one pass over all targets."""
        ready: dict[str, list[TargetRecord]] = {pool: [] for pool in pools}
        for target in self._board.targets.values() if ready else ():
            if target.entry.pool in ready and target.may_start(now_s):
                ready[target.entry.pool].append(target)
        return ready

    def _plan_pool(
        self, targets: list[TargetRecord], records: list[JobRecord], now_ms: float
    ) -> list[Order]:
        self._rooms = CapacityIndex(map(_describe_room, targets))
        orders: list[Order] = []
        records.sort(key=lambda record: self._order_work(self._describe(record), now_ms))
        self._refused.clear()
        for record in records:
            starts: list[Order] = []
            if self._try(record, partial(self._start_waiting, record, targets, starts)):
                orders.extend(starts)
        return orders

    def _try(self, record: JobRecord, work: Callable[[], None]) -> bool:
        """Do a part of the plan for one job; set the job aside when that fails."""
        try:
            work()
        except Exception as error:
            # Another plan would fail alike, and with it the starts of all other jobs.
            log.error('job %s is set aside', record.job.job_id)
            note_unexpected('planner', error, self._metrics)
            self._board.set_aside(record, self._now_s)
            return False
        return True

    def _describe(self, record: JobRecord) -> JobUrgency:
        queue = self._board.rules.queues.get(record.job.queue.name, record.job.queue)
        return JobUrgency(
            lasting=record.job.lasting,
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
        for step_key, keys in by_step.items():
            allowed = self._find_approved(record, step_key, targets)
            if record.job.steps[step_key[1]].gang:
                orders.extend(self._start_gang(record, keys, allowed))
            else:
                orders.extend(self._start_tasks(record, keys, allowed))

    def _start_tasks(
        self, record: JobRecord, keys: list[TaskKey], allowed: Collection[str] | None
    ) -> list[Order]:
        orders: list[Order] = []
        for key in keys:
            run_id = self._find_run_id(record, [key])
            order = self._start_task(record, key, run_id, allowed)
            if order is None:
                break
            orders.append(order)
        return orders

    def _start_gang(
        self, record: JobRecord, keys: list[TaskKey], allowed: Collection[str] | None
    ) -> list[Order]:
        """Start all tasks of a gang with one run id, or none.

        A gang whose earlier run has not ended everywhere waits, because its tasks work only with
        those of the same run.
        """
        step = record.job.steps[keys[0].step]
        if len(keys) < step.task_count:
            return []
        within = self._narrow_to_rack(step, allowed) if step.same_rack else allowed
        run_id = self._find_run_id(record, keys)
        refused_before = len(self._refused)
        orders: list[StartOrder] = []
        for key in keys:
            order = self._start_task(record, key, run_id, within)
            if order is None:
                self._take_back(record, orders)
                # The room that the members took is free again for others.
                del self._refused[refused_before:]
                return []
            orders.append(order)
        return list(orders)

    def _take_back(self, record: JobRecord, orders: Iterable[StartOrder]) -> None:
        """Undo starts that were not sent."""
        for order in orders:
            record.last_run_ids[order.key] = order.run_id - 1
            self._board.forget_run(record.runs[order.key])
            self._board.requeue(order.key)
            self._note_room(order.target_id)

    def _start_task(
        self,
        record: JobRecord,
        key: TaskKey,
        run_id: int,
        allowed: Collection[str] | None,
    ) -> StartOrder | None:
        step = record.job.steps[key.step]
        if self._is_refused(step) or not self._is_below_ceiling(record.job.team, step.request):
            return None
        avoided = record.failed_on.get(key, NO_TARGETS)
        spread = step.target_limit or step.unavailable_limit
        same_step = self._count_same_step(record, key) if spread else NO_COUNTS
        room = self._rooms.choose(step, avoided, same_step, allowed)
        if room is None:
            self._note_refused(step, bool(record.job.queue.advice_validity_ms))
            return None
        self._add_run(record, key, run_id, room.target_id)
        self._note_room(room.target_id)
        advice = self._advice.get((key.job_id, key.occurrence, key.step))
        return StartOrder(
            room.target_id,
            key,
            run_id,
            record.job.spec,
            record.find_checkpoint(key),
            '' if advice is None else advice.tickets.get(room.target_id, ''),
        )

    def _is_refused(self, step: Step) -> bool:
        """Return whether this plan has found no room for a request that is not larger."""
        request = compute_effective_request(step)
        return any(refused.fits(request) for refused in self._refused)

    def _note_refused(self, step: Step, queue_is_advised: bool) -> None:
        """Remember a request without room, unless it was refused for another reason."""
        narrowed = step.required_label or step.target_limit or step.same_rack
        if not narrowed and not queue_is_advised:
            self._refused.append(compute_effective_request(step))

    def _note_room(self, target_id: str) -> None:
        """Take in that a target has more or less room, or takes no further task."""
        target = self._board.targets[target_id]
        if target.may_start(self._now_s):
            self._rooms.replace(_describe_room(target))
        else:
            self._rooms.remove(target_id)

    def _find_run_id(self, record: JobRecord, keys: list[TaskKey]) -> int:
        first = (self._board.epoch - 1) * RUNS_PER_TERM
        return 1 + max(record.last_run_ids.get(key, first) for key in keys)

    def _add_run(self, record: JobRecord, key: TaskKey, run_id: int, target_id: str) -> None:
        step = record.job.steps[key.step]
        record.last_run_ids[key] = run_id
        del record.waiting[key]
        run = RunRecord(
            key,
            run_id,
            target_id,
            record.job.team,
            compute_effective_request(step),
            step.request,
            RunState.STARTING,
            self._now_s,
            self._now_s,
            tail_limit_ms=step.tail_limit_ms,
            filler=step.filler,
            lasting=step.lasting,
        )
        self._board.add_run(run, record)

    def _find_approved(
        self, record: JobRecord, step_key: tuple[int, int], targets: list[TargetRecord]
    ) -> Collection[str] | None:
        """Return the targets with a valid ticket, and note the question for the others.

        Returns None when the queue asks for no advice.
        """
        if not record.job.queue.advice_validity_ms:
            return None
        occurrence, number = step_key
        job_id = record.job.job_id
        advice = self._advice.setdefault((job_id, occurrence, number), Advice())
        named = tuple(target.entry.target_id for target in targets)[:TARGETS_PER_QUESTION]
        if _needs_question(advice, named, self._now_s):
            self._questions.append(AdviceRequest(job_id, occurrence, number, named))
        return NO_TARGETS if self._now_s >= advice.valid_until_s else advice.tickets.keys()

    def _unlock_steps(self, record: JobRecord, now_ms: float) -> None:
        for step_key in record.find_unlocked(now_ms):
            record.unlocked.add(step_key)
            occurrence, number = step_key
            for index in range(record.job.steps[number].task_count):
                self._board.requeue(TaskKey(record.job.job_id, occurrence, number, index))

    def _is_below_ceiling(self, team_name: str, request: Resources) -> bool:
        team = self._board.rules.teams.get(team_name)
        if team is None:
            return True
        total = self._board.team_use.get(team_name, NO_RESOURCES).add(request)
        return total.is_within(team.ceiling)

    def _narrow_to_rack(
        self, step: Step, allowed: Collection[str] | None
    ) -> Collection[str] | None:
        """Return the allowed targets of a rack with room for all tasks, if there is one."""
        rooms = [room for room in self._rooms if allowed is None or room.target_id in allowed]
        rack = choose_rack(step, rooms)
        if rack is None:
            return allowed
        return {room.target_id for room in rooms if rack in room.labels}

    def _count_same_step(self, record: JobRecord, key: TaskKey) -> Mapping[str, int]:
        counts: dict[str, int] = {}
        for run in record.runs.values():
            if (run.key.occurrence, run.key.step) == (key.occurrence, key.step):
                counts[run.target_id] = counts.get(run.target_id, 0) + 1
        return counts


def _describe_room(target: TargetRecord) -> TargetCapacity:
    return TargetCapacity(
        target.entry.target_id,
        target.free,
        target.entry.labels,
        serving=any(run.tail_limit_ms for run in target.runs.values()),
        maintenance_due=target.maintenance_due,
    )


def _needs_question(advice: Advice, target_ids: tuple[str, ...], now_s: float) -> bool:
    return now_s >= advice.valid_until_s or not advice.asked.issuperset(target_ids)
