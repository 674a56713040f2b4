"""Assigns a unit of the team's ceiling and a slot at a target to each waiting request."""

import enum
import itertools
import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.decisions.service_time import (
    could_meet_deadline,
    estimate_wait_s,
    is_expected_to_meet_deadline,
)
from comfreywind.entry.dispatch_policy import DispatchPolicy, SharesPolicy
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.load_sums import parse_peer_loads, sum_outstanding_by_pool
from comfreywind.entry.placement import Placement
from comfreywind.entry.pool_queue import PoolQueue
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.target_admission import AdmitAll, TargetAdmission
from comfreywind.entry.target_pool import TargetPool
from comfreywind.entry.team_queue import TeamQueue
from comfreywind.entry.ticket import Ticket
from comfreywind.entry.unit_demand import UnitDemand
from comfreywind.entry.unit_source import UnitSource
from comfreywind.entry.waiter import Waiter
from comfreywind.peers.messages.load_report import LoadReport
from comfreywind.platform.vm_entry import VmEntry

RETRY_AFTER_S = 1.0
# How long a target that rejected a request counts as full: one period of the load reports.
TARGET_FULL_S = 0.25
# Number of requests at the front of a lane that are examined when those before them exclude every
# target with a free slot.
LOOKAHEAD_LIMIT = 4
SLOTS_UNKNOWN = 0
NO_LOAD: Mapping[str, int] = {}
# Limits the size of a report that goes to every peer four times a second. The targets with the most
# requests are reported, because a peer is most likely to find those full.
REPORTED_TARGETS_LIMIT = 64


class StartResult(enum.Enum):
    """Result of an attempt to start a team's next request."""

    PROGRESS = 'progress'
    TEAM_BLOCKED = 'team-blocked'
    NO_CAPACITY = 'no-room'


class Dispatcher:
    """Assigns targets to tickets; a ticket waits in its queue until its deadline.

    The dispatcher is event-driven and does not poll: it starts requests when one arrives or ends,
    when units arrive, when the fleet or the rules change, and when peers report new loads.
    """

    def __init__(
        self,
        rules_view: RulesView,
        fleet_view: FleetView,
        units: UnitSource,
        clock: Clock,
        admission: TargetAdmission | None = None,
        policy: DispatchPolicy | None = None,
        entry_name: str = '',
        data_centre: str = '',
        generator: random.Random | None = None,
    ) -> None:
        """Start with no waiting requests and subscribe to the views and to the units."""
        self._rules_view = rules_view
        self._fleet_view = fleet_view
        self._units = units
        self._clock = clock
        self._policy = policy or SharesPolicy()
        self._entry_name = entry_name
        self._data_centre = data_centre
        self._admission = admission or AdmitAll()
        self._generator = generator or random.Random()
        self._numbers = itertools.count(1)
        self._pools: dict[str, PoolQueue] = {}
        self._pool_by_target: dict[str, str] = {}
        self._unit_demand = UnitDemand(units)
        fleet_view.subscribe(self.refresh_fleet)
        rules_view.subscribe(self.refresh_fleet)
        units.subscribe(self.wake_team)
        self.refresh_fleet()

    async def acquire(self, ticket: Ticket) -> Placement:
        """Reserve a slot and a unit; raise RefusalError if none is free before the deadline."""
        pool = self._get_pool(ticket.queue.pool)
        refusal = self._check_admission(pool, ticket)
        if refusal is not None:
            raise RefusalError(refusal)
        number = next(self._numbers)
        waiter = Waiter(ticket, -number if ticket.at_front else number)
        return await self._wait_for_placement(pool, waiter)

    async def reacquire(self, ticket: Ticket, placement: Placement) -> Placement:
        """Reserve another slot for a request that the target of `placement` rejected as full.

        The old placement is released, its target counts as full for `TARGET_FULL_S`, and the
        request waits at the front of its queue. Raises RefusalError when no slot is free in time.
        """
        pool = self._get_pool(placement.pool)
        pool.undo_start(placement, self._clock.read_monotonic_s() + TARGET_FULL_S)
        self._return_unit(placement)
        return await self.acquire(replace(ticket, at_front=True))

    def release(self, placement: Placement) -> None:
        """Release the unit and the slot of a request that has ended."""
        pool = self._get_pool(placement.pool)
        pool.record_finish(placement, self._clock.read_monotonic_s())
        self._return_unit(placement)
        self._start_waiting(pool)

    def read_outstanding(self) -> dict[str, int]:
        """Return the number of requests that hold a slot, by target, without zeros.

        The counts of all pools are added, since a target that moved between pools may have
        requests of both.
        """
        outstanding: Counter[str] = Counter()
        for pool in self._pools.values():
            outstanding.update(pool.targets.own_outstanding)
        return dict(outstanding)

    def wake_team(self, team: str) -> None:
        """Start requests that wait for a unit of the team."""
        pool_names = self._unit_demand.pop_pools(team)
        for pool_name in pool_names:
            pool = self._pools[pool_name]
            pool.mark_unit_available(team)
            self._start_waiting(pool)
        if pool_names:
            self._unit_demand.clear_if_satisfied(team)

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Reject all waiting requests with the refusal."""
        for pool in self._pools.values():
            for waiter in pool.list_waiting():
                self._reject(pool, waiter, refusal)

    def refresh_fleet(self) -> None:
        """Apply the usable VMs and the rules of the views and start what they allow."""
        groups = self._fleet_view.group_usable()
        self._pool_by_target = {vm.name: pool for pool, vms in groups.items() for vm in vms}
        for name, pool in self._pools.items():
            pool.targets.replace_vms(groups.get(name, ()), self._get_slots_per_vm(name))
        self._start_all()

    def make_report(self) -> LoadReport:
        """Return the report of this entry's load that is sent to its peers."""
        loads = {name: pool.make_loads() for name, pool in self._pools.items()}
        named_loads = {name: teams for name, teams in loads.items() if teams}
        outstanding = Counter(self.read_outstanding())
        return LoadReport(named_loads, dict(outstanding.most_common(REPORTED_TARGETS_LIMIT)))

    def apply_reports(self, reports: Mapping[str, LoadReport]) -> None:
        """Apply the recent reports of all peers and reallocate the slots of pools with load."""
        rules = self._rules_view.rules
        team_rules = rules.teams if rules else {}
        urgent_pools = self._list_urgent_pools()
        outstanding = sum_outstanding_by_pool(reports, self._pool_by_target)
        now_s = self._clock.read_monotonic_s()
        for name, pool in self._pools.items():
            pool.targets.expire_inferred_loads(now_s)
            pool.targets.replace_peer_loads(outstanding.get(name, NO_LOAD))
            peer_loads = parse_peer_loads(reports, name)
            if pool.is_active or any(peer_loads.values()) or pool.allocation.entitlements:
                keeps_reserve = self._policy.keeps_reserve and name in urgent_pools
                pool.update_allocation(
                    self._entry_name, peer_loads, team_rules, keeps_reserve, self._clock
                )
        self._start_all()

    async def _wait_for_placement(self, pool: PoolQueue, waiter: Waiter) -> Placement:
        self._enqueue(pool, waiter)
        if waiter.placement is None and waiter.refusal is None:
            await self._sleep_until_placed(pool, waiter)
        if waiter.placement is not None:
            return waiter.placement
        raise RefusalError(waiter.refusal or _make_waiting_refusal(pool))

    async def _sleep_until_placed(self, pool: PoolQueue, waiter: Waiter) -> None:
        """Sleep until woken; a deadline or a cancellation dequeues the request at once."""

        def leave_queue(_raise_cancel: object) -> trio.lowlevel.Abort:
            self._dequeue(pool, waiter)
            return trio.lowlevel.Abort.SUCCEEDED

        waiter.task = trio.lowlevel.current_task()
        remaining_s = waiter.ticket.deadline_s - self._clock.read_monotonic_s()
        with trio.move_on_after(max(0, remaining_s)):
            await trio.lowlevel.wait_task_rescheduled(leave_queue)

    def _enqueue(self, pool: PoolQueue, waiter: Waiter) -> None:
        pool.add(waiter)
        self._unit_demand.add_waiting(waiter.ticket.team, 1)
        self._start_waiting(pool)

    def _dequeue(self, pool: PoolQueue, waiter: Waiter) -> None:
        if pool.remove(waiter):
            self._unit_demand.add_waiting(waiter.ticket.team, -1)

    def _check_admission(self, pool: PoolQueue, ticket: Ticket) -> Refusal | None:
        team = pool.get_team_queue(ticket.team)
        if self._get_ceiling(ticket.team) == 0:
            return _make_refusal(RefusalReason.CEILING_REACHED, 'the ceiling of the team is 0')
        if ticket.excluded_targets and not pool.targets.has_allowed(ticket.excluded_targets):
            return _make_refusal(RefusalReason.NO_TARGET, 'no other target is available')
        if ticket.at_front:
            return None
        if team.count_waiting(ticket.queue.name) >= ticket.queue.queue_limit:
            return _make_refusal(RefusalReason.QUEUE_FULL, 'too many wait')
        return self._check_deadline(team, ticket) if self._policy.refuses_early else None

    def _check_deadline(self, team: TeamQueue, ticket: Ticket) -> Refusal | None:
        now_s = self._clock.read_monotonic_s()
        service = team.get_service_time(now_s)
        ahead = len(team.urgent) if ticket.queue.urgent else team.waiting
        wait_s = estimate_wait_s(service, ahead, max(team.quota, team.running))
        remaining_s = ticket.deadline_s - now_s
        if is_expected_to_meet_deadline(service, wait_s, remaining_s):
            return None
        if not ahead and could_meet_deadline(service, remaining_s):
            return None
        return Refusal(
            RefusalReason.DEADLINE_IN_QUEUE,
            f'{remaining_s:.3f} s are left, the wait is about {wait_s:.3f} s and a run takes '
            f'{service.mean_s:.3f} s',
            retry_after_s=max(RETRY_AFTER_S, wait_s),
        )

    def _start_all(self) -> None:
        for team in self._unit_demand.list_lacking():
            self.wake_team(team)
        for pool in self._pools.values():
            self._start_waiting(pool)

    def _start_waiting(self, pool: PoolQueue) -> None:
        progress = True
        while progress and pool.targets.may_have_free_slot:
            progress = self._start_next(pool)

    def _start_next(self, pool: PoolQueue) -> bool:
        """Start one request or reject a late one; return False when nothing can start now."""
        candidates = list(pool.list_candidates())
        while candidates:
            team = self._policy.choose_team(candidates)
            if team is None:
                return False
            start_result = self._start_from_lane(pool, team)
            if start_result is not StartResult.TEAM_BLOCKED:
                return start_result is StartResult.PROGRESS
            candidates.remove(team)
        return False

    def _start_from_lane(self, pool: PoolQueue, team: TeamQueue) -> StartResult:
        lane = self._policy.choose_lane(team)
        urgent_first = lane is team.urgent and team.urgent_first
        for waiter in lane.peek(LOOKAHEAD_LIMIT):
            if self._is_too_late(team, waiter):
                return self._reject_late(pool, waiter)
            target = self._policy.choose_target(pool, urgent_first, waiter.ticket)
            if target is not None:
                return self._acquire_unit_and_start(pool, team, waiter, target)
            if not waiter.ticket.excluded_targets:
                return StartResult.NO_CAPACITY
        return StartResult.TEAM_BLOCKED

    def _is_too_late(self, team: TeamQueue, waiter: Waiter) -> bool:
        now_s = self._clock.read_monotonic_s()
        remaining_s = waiter.ticket.deadline_s - now_s
        if not self._policy.refuses_early:
            return remaining_s <= 0
        service = team.get_service_time(now_s)
        if team.waiting > 1:
            return not is_expected_to_meet_deadline(service, 0, remaining_s)
        return not could_meet_deadline(service, remaining_s)

    def _reject_late(self, pool: PoolQueue, waiter: Waiter) -> StartResult:
        self._reject(pool, waiter, _make_waiting_refusal(pool))
        return StartResult.PROGRESS

    def _reject(self, pool: PoolQueue, waiter: Waiter, refusal: Refusal) -> None:
        self._dequeue(pool, waiter)
        waiter.refusal = refusal
        _wake_task(waiter)

    def _acquire_unit_and_start(
        self, pool: PoolQueue, team: TeamQueue, waiter: Waiter, target: VmEntry
    ) -> StartResult:
        ticket = waiter.ticket
        if not self._units.try_acquire_unit(ticket.team):
            team.lacks_unit = True
            self._unit_demand.add_pool(ticket.team, ticket.queue.pool)
            return StartResult.TEAM_BLOCKED
        self._dequeue(pool, waiter)
        pool.targets.add_request(target.name)
        waiter.placement = Placement(
            target=target,
            team=ticket.team,
            pool=ticket.queue.pool,
            started_s=self._clock.read_monotonic_s(),
            urgent=ticket.queue.urgent,
            charged_s=pool.record_start(team, ticket.queue.urgent),
        )
        _wake_task(waiter)
        return StartResult.PROGRESS

    def _return_unit(self, placement: Placement) -> None:
        self._units.release_unit(placement.team)
        self.wake_team(placement.team)

    def _get_pool(self, name: str) -> PoolQueue:
        pool = self._pools.get(name)
        if pool is None:
            pool = PoolQueue(TargetPool(self._data_centre, self._admission, self._generator))
            self._pools[name] = pool
            pool.targets.replace_vms(
                self._fleet_view.list_usable(name), self._get_slots_per_vm(name)
            )
        return pool

    def _get_slots_per_vm(self, pool: str) -> int:
        rules = self._rules_view.rules
        return rules.pools[pool].slots_per_vm if rules and pool in rules.pools else SLOTS_UNKNOWN

    def _get_ceiling(self, team: str) -> int | None:
        rules = self._rules_view.rules
        return rules.teams[team].ceiling_units if rules and team in rules.teams else None

    def _list_urgent_pools(self) -> set[str]:
        rules = self._rules_view.rules
        queues = rules.queues.values() if rules else ()
        return {queue.pool for queue in queues if queue.urgent}


def _wake_task(waiter: Waiter) -> None:
    if waiter.task is not None:
        trio.lowlevel.reschedule(waiter.task)


def _make_refusal(reason: RefusalReason, detail: str) -> Refusal:
    return Refusal(reason, detail, retry_after_s=RETRY_AFTER_S)


def _make_waiting_refusal(pool: PoolQueue) -> Refusal:
    if not pool.targets.capacity:
        return _make_refusal(RefusalReason.NO_TARGET, 'the pool has no target that takes work')
    return _make_refusal(
        RefusalReason.DEADLINE_IN_QUEUE, 'the deadline passed while the request waited'
    )
