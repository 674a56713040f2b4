"""Decides which VMs move between pools, from the scheduler state and the list of VMs."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.decisions.scheduling.pool_size import (
    PoolLoad,
    VmMove,
    choose_moves,
    compute_surplus_vms,
)
from comfreywind.decisions.scheduling.shrink_pace import ShrinkPace
from comfreywind.jobs.pool import Pool
from comfreywind.jobs.vm import Vm
from comfreywind.scheduling.demand_watch import DemandWatch
from comfreywind.scheduling.pool_work import PoolWork, group_by_pool
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.vm_order import VmOrder

# An ordered move may still be carried out within this time. After it the VM takes work again.
ORDER_TIMEOUT_S = 13.0
# Initial estimate of the time from the order of a move until the list shows the VM up again.
INITIAL_MOVE_S = 1.7
# Weight of the latest move in the moving average of that time.
MOVE_WEIGHT = 0.2
NO_DATA_CENTRES: frozenset[str] = frozenset()

log = logging.getLogger('comfreywind.pools')


def _always_reservable(vm: str) -> bool:
    return True


def _list_none() -> frozenset[str]:
    return NO_DATA_CENTRES


def _count_none(pool: str) -> int:
    return 0


class PoolSizer:
    """Owns the moves in progress; it has no sockets and no clock of its own."""

    def __init__(
        self,
        scheduler_state: SchedulerState,
        policy: PoolPolicy,
        may_reserve: Callable[[str], bool] = _always_reservable,
        list_evacuated: Callable[[], frozenset[str] | None] = _list_none,
        count_vms_for_moves: Callable[[str], int] = _count_none,
    ) -> None:
        """Size the pools of the scheduler state; `may_reserve` tells which VMs may be ordered.

        VMs in the data centres of `list_evacuated` are neither used nor moved; nothing moves while
        it returns None, as they are not known. Pools get as many VMs more as `count_vms_for_moves`
        tells, for runs that are to leave these data centres.
        """
        self._may_reserve = may_reserve
        self._list_evacuated = list_evacuated
        self._count_vms_for_moves = count_vms_for_moves
        self._evacuated = NO_DATA_CENTRES
        self._pace = ShrinkPace()
        self._state = scheduler_state
        self._policy = policy
        self._orders: dict[str, VmOrder] = {}
        self._destinations: dict[str, str] = {}
        self._surplus_since_s: dict[str, float] = {}
        self._demand = DemandWatch(scheduler_state, policy)
        self._move_s = INITIAL_MOVE_S
        self._started_s: float | None = None
        self._first_demand_s: float | None = None
        self._may_shrink = False

    def choose(self, pools: Iterable[Pool], vms: Mapping[str, Vm], now_s: float) -> list[VmMove]:
        """Update the moves in progress by the list of VMs, and return the moves to order now."""
        evacuated = self._list_evacuated()
        if evacuated is None:
            return []
        self._evacuated = evacuated
        self._pace.update(self._evacuated, now_s)
        self._update_orders(vms, now_s)
        work_by_pool = self._group_by_pool(vms)
        self._demand.record_new_jobs(work_by_pool, now_s)
        known_pools = tuple(pools)
        self._may_shrink = self._may_shrink or self._knows_demand(now_s)
        usable_vms = sum(vm.data_centre not in self._evacuated for vm in vms.values())
        even_share_vms = usable_vms / len(known_pools) if known_pools else 0
        loads = [
            self._measure_load(pool, work_by_pool.get(pool.name, PoolWork()), even_share_vms, now_s)
            for pool in known_pools
        ]
        standby_pools = {pool.name for pool in known_pools if pool.standby}
        return self._limit_shrinking(choose_moves(loads, self._policy), standby_pools, now_s)

    def has_moves(self) -> bool:
        """Return whether a move is in progress."""
        return bool(self._orders)

    def count_arriving(self) -> dict[str, int]:
        """Return the number of VMs on their way to each pool."""
        return dict(Counter(self._destinations.values()))

    def start_move(self, vm: Vm, pool: str, now_s: float) -> bool:
        """Record a move before its order and stop new work; return False if the VM must stay."""
        record = self._state.targets.get(vm.target_id)
        has_work = record is not None and record.has_work
        if has_work or vm.data_centre in (self._list_evacuated() or NO_DATA_CENTRES):
            return False
        if record is not None:
            record.emptying = True
        self._orders[vm.name] = VmOrder(vm.name, vm.target_id, now_s)
        self._destinations[vm.name] = pool
        return True

    def cancel_move(self, vm: Vm) -> None:
        """Discard the move, which will not happen, so that the VM takes work again."""
        self._resume_work(vm.target_id)
        self._remove_order(vm.name)

    def _limit_shrinking(
        self, moves: list[VmMove], standby_pools: set[str], now_s: float
    ) -> list[VmMove]:
        """Return the moves without those to standby that come later."""
        shrinking = [move for move in moves if move.pool in standby_pools]
        admitted = self._pace.admit(len(shrinking), now_s)
        return [move for move in moves if move not in shrinking[admitted:]]

    def _update_orders(self, vms: Mapping[str, Vm], now_s: float) -> None:
        for name, order in list(self._orders.items()):
            vm = vms.get(name)
            if vm is None:
                self._remove_order(name)
            elif vm.up and vm.target_id != order.target_id:
                self._record_move(vm, now_s - order.sent_s)
                self._remove_order(name)
            else:
                self._cancel_if_overdue(order, now_s)

    def _record_move(self, vm: Vm, took_s: float) -> None:
        """Update the time that moves take; a VM still in its pool has not moved but crashed."""
        if vm.pool == self._destinations[vm.name]:
            self._move_s += MOVE_WEIGHT * (took_s - self._move_s)

    def _cancel_if_overdue(self, order: VmOrder, now_s: float) -> None:
        if now_s - order.sent_s > ORDER_TIMEOUT_S:
            log.info('VM %s: not moved in time, so it takes work again', order.vm)
            self._resume_work(order.target_id)
            self._remove_order(order.vm)

    def _remove_order(self, name: str) -> None:
        del self._orders[name]
        del self._destinations[name]

    def _resume_work(self, target_id: str) -> None:
        record = self._state.targets.get(target_id)
        if record is not None:
            record.revert_vm_order()

    def _group_by_pool(self, vms: Mapping[str, Vm]) -> dict[str, PoolWork]:
        work_by_pool = group_by_pool(self._state)
        for vm in vms.values():
            work_by_pool.setdefault(vm.pool, PoolWork()).vms.append(vm)
        for name, pool in self._destinations.items():
            if vms[name].data_centre not in self._evacuated:
                work_by_pool.setdefault(pool, PoolWork()).arriving += 1
        return work_by_pool

    def _knows_demand(self, now_s: float) -> bool:
        """Return whether the demand is known well enough for pools to give up VMs."""
        if self._started_s is None:
            self._started_s = now_s
        if self._first_demand_s is None and self._has_short_jobs():
            self._first_demand_s = now_s
        if now_s - self._started_s >= self._policy.initial_hold_s:
            return True
        if self._first_demand_s is None:
            return False
        return now_s - self._first_demand_s >= self._policy.first_demand_s

    def _has_short_jobs(self) -> bool:
        return any(not record.job.long_running for record in self._state.jobs.values())

    def _measure_load(
        self, pool: Pool, work: PoolWork, even_share_vms: float, now_s: float
    ) -> PoolLoad:
        load_vms = work.compute_load_vms()
        load = PoolLoad(
            pool=pool.name,
            standby=pool.standby,
            load_vms=load_vms,
            usable=sum(self._is_usable(target, now_s) for target in work.targets),
            arriving=work.arriving,
            idle_vms=tuple(vm.name for vm in work.vms if self._is_idle(vm, pool.standby)),
            even_share_vms=even_share_vms,
            vms_for_long_running=work.count_vms_for_long_running()
            + self._count_vms_for_moves(pool.name),
            expected_vms=self._demand.forecast_load_vms(pool.name, load_vms, self._move_s),
        )
        lacks_surplus = compute_surplus_vms(load, self._policy) <= 0
        if pool.standby or lacks_surplus or not self._may_shrink:
            self._surplus_since_s.pop(pool.name, None)
            return load
        since_s = self._surplus_since_s.setdefault(pool.name, now_s)
        return replace(load, surplus_for_s=now_s - since_s)

    def _is_usable(self, target: TargetRecord, now_s: float) -> bool:
        return target.entry.data_centre not in self._evacuated and target.is_usable(now_s)

    def _is_idle(self, vm: Vm, standby: bool) -> bool:
        if vm.data_centre in self._evacuated:
            return False
        if not vm.up or vm.name in self._orders or not self._may_reserve(vm.name):
            return False
        record = self._state.targets.get(vm.target_id)
        if record is None:
            return standby
        # The runs on a target that has not reported to this holder are not known.
        known = record.reported and not record.silent
        busy = record.has_work or record.emptying or record.entry.draining or record.leaving
        return known and not busy
