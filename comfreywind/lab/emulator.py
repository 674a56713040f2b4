"""Drives the board, the planner and the sizing of pools over emulated VMs."""

import heapq
import itertools
from collections.abc import Callable, Iterable
from functools import partial

from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.pool import Pool
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.resources import NO_RESOURCES, Resources
from comfreywind.jobs.run_report import EndedRun, RunOutcome
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.start_reply import StartReply
from comfreywind.jobs.target_entry import TargetEntry
from comfreywind.jobs.task_key import TaskKey
from comfreywind.jobs.vm import Vm
from comfreywind.lab.arrival import Arrival
from comfreywind.lab.emulated_vm import EmulatedVm
from comfreywind.lab.fleet_model import FleetModel
from comfreywind.lab.lab_policy import LabPolicy
from comfreywind.lab.outcome import Outcome
from comfreywind.lab.worth import note_end, note_unfinished
from comfreywind.scheduling.holder import BATCH_WINDOW_S
from comfreywind.scheduling.orders import Order, StartOrder
from comfreywind.scheduling.planner import Planner
from comfreywind.scheduling.pool_keeper import INTERVAL_S
from comfreywind.scheduling.pool_sizer import PoolSizer
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.settings.address import Address

MS_PER_S = 1000
# After the last arrival jobs may end for so long; later ends earn nothing.
REST_S = 14.0

Act = Callable[[], None]


class Emulator:
    """One run: events in the order of their times, no network and no real time."""

    def __init__(self, model: FleetModel, arrivals: Iterable[Arrival], policy: LabPolicy) -> None:
        """Prepare the fleet; every VM starts in its pool, without work."""
        self._model = model
        self._arrivals = {arrival.job.job_id: arrival for arrival in arrivals}
        self._state = SchedulerState(1)
        self._state.unknown_usage = NO_RESOURCES
        self._planner = Planner(self._state, policy.compute_sort_key)
        self._sizer = None if policy.pools is None else PoolSizer(self._state, policy.pools)
        self._events: list[tuple[float, int, Act]] = []
        self._numbers = itertools.count()
        self._now_s: float = 0
        self._busy_until_s: float = 0
        self._plan_due = False
        self._vms: dict[str, EmulatedVm] = {}
        self._by_target: dict[str, EmulatedVm] = {}
        self._listed: dict[str, Vm] = {}
        self._outcome = Outcome()
        pools = {name: Pool(name) for name in model.vms_by_pool}
        pools[model.standby_pool] = Pool(model.standby_pool, standby=True)
        queues = {arrival.job.queue.name: arrival.job.queue for arrival in self._arrivals.values()}
        self._state.rules = JobRules(1, queues, pools)
        self._add_vms()

    def run(self) -> Outcome:
        """Play all arrivals and return what came of them."""
        end_s = REST_S + max((each.time_s for each in self._arrivals.values()), default=0)
        for arrival in self._arrivals.values():
            self._at(arrival.time_s, partial(self._accept, arrival))
        self._at(0, self._read_list)
        if self._sizer is not None:
            self._at(0, partial(self._size_pools, self._sizer))
        while self._events and self._events[0][0] <= end_s:
            event = heapq.heappop(self._events)
            self._now_s = event[0]
            event[2]()
        self._count_vm_seconds(end_s)
        note_unfinished(self._outcome, self._arrivals.values(), self._state)
        return self._outcome

    # Fleet

    def _add_vms(self) -> None:
        numbers = itertools.count()
        for pool, count in self._model.vms_by_pool.items():
            for _ in range(count):
                number = next(numbers)
                capacity = Resources(self._model.vm_millicores, self._model.vm_memory_mb)
                rack = f'r{number // self._model.vms_per_rack}'
                vm = EmulatedVm(f'vm{number:04d}', pool, capacity, rack)
                self._vms[vm.name] = vm
                self._by_target[vm.target_id] = vm
                if pool != self._model.standby_pool:
                    self._register(vm)

    def _register(self, vm: EmulatedVm) -> None:
        entry = TargetEntry(
            vm.target_id,
            vm.pool,
            Address('127.0.0.1', 1),
            'lab',
            False,
            vm.capacity,
            frozenset((vm.rack,)),
            1,
        )
        self._state.register_target(entry).in_registry = True
        vm.arrival_s = self._now_s
        self._report(vm)

    def _read_list(self) -> None:
        self._listed = {name: vm.describe() for name, vm in self._vms.items()}
        self._at(self._now_s + self._model.list_interval_s, self._read_list)

    def _size_pools(self, sizer: PoolSizer) -> None:
        pools = self._state.rules.pools.values()
        for move in sizer.choose(pools, self._listed, self._now_s):
            if sizer.start_move(self._listed[move.vm], move.pool, self._now_s):
                self._move(self._vms[move.vm], move.pool)
        self._at(self._now_s + INTERVAL_S, partial(self._size_pools, sizer))

    def _move(self, vm: EmulatedVm, pool: str) -> None:
        self._outcome.moves += 1
        if vm.pool != self._model.standby_pool:
            self._outcome.vm_seconds += self._now_s - vm.arrival_s
            del self._state.targets[vm.target_id]
        vm.up = False
        vm.pool = pool
        vm.arrival_s = self._now_s
        self._at(self._now_s + self._model.move_s, partial(self._arrive, vm))

    def _arrive(self, vm: EmulatedVm) -> None:
        vm.life += 1
        vm.up = True
        vm.end_count = 0
        self._by_target[vm.target_id] = vm
        if vm.pool != self._model.standby_pool:
            self._at(self._now_s + self._model.register_s, partial(self._register, vm))

    def _count_vm_seconds(self, end_s: float) -> None:
        for vm in self._vms.values():
            if vm.pool != self._model.standby_pool:
                self._outcome.vm_seconds += end_s - vm.arrival_s

    # Work

    def _accept(self, arrival: Arrival) -> None:
        self._state.add_job(arrival.job, Progress(), 1, reconciled=True)
        self._wake()

    def _wake(self) -> None:
        if self._plan_due:
            return
        self._plan_due = True
        self._at(max(self._now_s + BATCH_WINDOW_S, self._busy_until_s), self._plan)

    def _plan(self) -> None:
        self._plan_due = False
        orders = self._planner.plan(self._now_s, self._now_s * MS_PER_S)
        self._state.pop_changed_jobs()
        self._send(orders)

    def _send(self, orders: Iterable[Order]) -> None:
        for order in orders:
            if isinstance(order, StartOrder):
                arrival_s = self._take_turn() + self._model.order_s
                self._at(arrival_s, partial(self._start, order))

    def _take_turn(self) -> float:
        """Return when the holder is done with one more call."""
        self._busy_until_s = max(self._busy_until_s, self._now_s) + self._model.call_s
        self._outcome.busy_s += self._model.call_s
        return self._busy_until_s

    def _start(self, order: StartOrder) -> None:
        vm = self._by_target[order.target_id]
        if vm.target_id != order.target_id or not vm.up:
            self._state.apply_start_answer(order, StartReply(StartAnswer.REPLACED), self._now_s)
            self._wake()
            return
        vm.runs[order.key] = order.run_id
        started = StartReply(StartAnswer.STARTED, clock_ms=int(self._now_s * MS_PER_S))
        self._state.apply_start_answer(order, started, self._now_s)
        arrival = self._arrivals[order.key.job_id]
        work_s = arrival.durations_s[order.key.step][order.key.number]
        self._at(self._now_s + work_s, partial(self._end, vm, order.key, order.run_id))

    def _end(self, vm: EmulatedVm, key: TaskKey, run_id: int) -> None:
        if vm.runs.pop(key, None) is None:
            return
        vm.end_count += 1
        vm.ended.append(EndedRun(vm.end_count, key, run_id, RunOutcome.DONE, ''))
        self._at(self._take_turn() + self._model.order_s, partial(self._report, vm))

    def _report(self, vm: EmulatedVm) -> None:
        record = self._state.targets.get(vm.target_id)
        if record is None:
            return
        report = vm.report(int(self._now_s * MS_PER_S))
        fence = record.doubt.fence
        self._send(self._state.apply_report(record, report, fence, self._now_s, self._now_s))
        # A report may hold several ends of a job, which is complete only once.
        for job_id in dict.fromkeys(ended.key.job_id for ended in report.ended):
            if not self._state.jobs[job_id].open:
                note_end(self._outcome, self._arrivals[job_id], self._now_s)
        self._wake()

    def _at(self, time_s: float, act: Act) -> None:
        heapq.heappush(self._events, (time_s, next(self._numbers), act))
