"""Decides which VMs move between pools, from the board and the list of VMs."""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.decisions.scheduling.pool_size import (
    PoolLoad,
    VmMove,
    choose_moves,
    compute_surplus_vms,
)
from comfreywind.jobs.pool import Pool
from comfreywind.jobs.vm import Vm
from comfreywind.scheduling.board import Board
from comfreywind.scheduling.demand_watch import DemandWatch
from comfreywind.scheduling.pool_work import PoolWork, group_by_pool
from comfreywind.scheduling.vm_order import VmOrder

# An order without an answer may still be carried out for so long.
LATE_ORDER_S = 13.0
# From the order of a move until the list shows the VM up again, as long as no move was seen.
USUAL_MOVE_S = 1.7
# Weight of the last move in the mean.
MOVE_WEIGHT = 0.2

log = logging.getLogger('comfreywind.pools')


def _always_open(vm: str) -> bool:
    return True


class PoolSizer:
    """Owns the moves that are under way; it has no sockets and no clock of its own."""

    def __init__(
        self, board: Board, policy: PoolPolicy, may_reserve: Callable[[str], bool] = _always_open
    ) -> None:
        """Size the pools of the board's targets; `may_reserve` tells which VMs may be ordered now."""
        self._is_open = may_reserve
        self._board = board
        self._policy = policy
        self._orders: dict[str, VmOrder] = {}
        self._destinations: dict[str, str] = {}
        self._surplus_since_s: dict[str, float] = {}
        self._demand = DemandWatch(board, policy)
        self._move_s = USUAL_MOVE_S

    def replay_past_load(self, now_s: float, now_ms: float) -> None:
        """Learn from the jobs on the board which turns of demand earlier holders have met."""
        self._demand.replay_past_load(now_s, now_ms)

    def choose(self, pools: Iterable[Pool], vms: Mapping[str, Vm], now_s: float) -> list[VmMove]:
        """Return the moves to order now, after a look at those that are under way."""
        self._settle(vms, now_s)
        works = self._group_by_pool(vms)
        self._demand.record_new_jobs(works, now_s)
        known = tuple(pools)
        even_share = len(vms) / len(known) if known else 0
        loads = [
            self._describe(pool, works.get(pool.name, PoolWork()), even_share, now_s)
            for pool in known
        ]
        return choose_moves(loads, self._policy)

    def has_moves(self) -> bool:
        """Return whether a move is under way."""
        return bool(self._orders)

    def start_move(self, vm: Vm, pool: str, now_s: float) -> bool:
        """Note that the move is about to be ordered; return False when the VM has work now."""
        record = self._board.targets.get(vm.target_id)
        if record is not None and record.runs:
            return False
        if record is not None:
            record.emptying = True
        self._orders[vm.name] = VmOrder(vm.name, vm.target_id, now_s)
        self._destinations[vm.name] = pool
        return True

    def cancel_move(self, vm: Vm) -> None:
        """Note that the move will not happen; the VM works on."""
        self._release(vm.target_id)
        self._forget(vm.name)

    def _settle(self, vms: Mapping[str, Vm], now_s: float) -> None:
        for name, order in list(self._orders.items()):
            vm = vms.get(name)
            if vm is None:
                self._forget(name)
            elif vm.up and vm.target_id != order.target_id:
                self._move_s += MOVE_WEIGHT * (now_s - order.sent_s - self._move_s)
                self._forget(name)
            else:
                self._give_up_late(order, now_s)

    def _give_up_late(self, order: VmOrder, now_s: float) -> None:
        if now_s - order.sent_s > LATE_ORDER_S:
            log.info('VM %s: move was not carried out', order.vm)
            self._release(order.target_id)
            self._forget(order.vm)

    def _forget(self, name: str) -> None:
        del self._orders[name]
        del self._destinations[name]

    def _release(self, target_id: str) -> None:
        record = self._board.targets.get(target_id)
        if record is not None:
            self._board.take_back_order(record)

    def _group_by_pool(self, vms: Mapping[str, Vm]) -> dict[str, PoolWork]:
        works = group_by_pool(self._board)
        for vm in vms.values():
            works.setdefault(vm.pool, PoolWork()).vms.append(vm)
        for pool in self._destinations.values():
            works.setdefault(pool, PoolWork()).arriving += 1
        return works

    def _describe(
        self, pool: Pool, work: PoolWork, even_share_vms: float, now_s: float
    ) -> PoolLoad:
        load_vms = work.compute_load_vms()
        load = PoolLoad(
            pool=pool.name,
            standby=pool.standby,
            load_vms=load_vms,
            usable=sum(target.is_usable(now_s) for target in work.targets),
            arriving=work.arriving,
            idle_vms=tuple(vm.name for vm in work.vms if self._is_idle(vm, pool.standby)),
            even_share_vms=even_share_vms,
            vms_for_long_running=work.count_vms_for_long_running(),
            expected_vms=self._demand.forecast_load_vms(pool.name, load_vms, now_s, self._move_s),
        )
        if pool.standby or compute_surplus_vms(load, self._policy) <= 0:
            self._surplus_since_s.pop(pool.name, None)
            return load
        since_s = self._surplus_since_s.setdefault(pool.name, now_s)
        return replace(load, surplus_for_s=now_s - since_s)

    def _is_idle(self, vm: Vm, standby: bool) -> bool:
        if not vm.up or vm.name in self._orders or not self._is_open(vm.name):
            return False
        record = self._board.targets.get(vm.target_id)
        if record is None:
            return standby
        # What runs on a target that has not answered this holder is not known.
        heard = record.reported and not record.silent
        busy = record.runs or record.emptying or record.entry.draining or record.leaving
        return heard and not busy
