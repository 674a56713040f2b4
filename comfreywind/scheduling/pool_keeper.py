"""Moves VMs to the pools that have work, and idle ones to standby."""

import logging
from collections.abc import Callable

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.pool_size import (
    PoolLoad,
    VmMove,
    choose_moves,
    find_surplus,
)
from comfreywind.jobs.vm import Vm
from comfreywind.platform.vm_client import VmClient, VmOrderAnswer
from comfreywind.scheduling.board import Board
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.term_keeper import HeldTerm, TermKeeper
from comfreywind.scheduling.vm_order import VmOrder
from comfreywind.scheduling.vm_watch import VmWatch

INTERVAL_S = 0.2
LIST_AGE_LIMIT_S = 2.5
# An order without an answer may still be carried out for so long.
LATE_ORDER_S = 13.0

log = logging.getLogger('comfreywind.pools')


class PoolKeeper:
    """The holder's task for the sizes of pools; it owns the moves that are under way."""

    def __init__(
        self,
        term: HeldTerm,
        node: str,
        order_turn_s: float,
        vm_client: VmClient,
        watch: VmWatch,
        rules: RulesFollower,
        keeper: TermKeeper,
        board: Board,
        clock: Clock,
        wake: Callable[[], None],
    ) -> None:
        """Use the holder's parts; `wake` has the holder plan again."""
        self._term = term
        self._node = node
        self._order_turn_s = order_turn_s
        self._vm_client = vm_client
        self._watch = watch
        self._rules = rules
        self._keeper = keeper
        self._board = board
        self._clock = clock
        self._wake = wake
        self._orders: dict[str, VmOrder] = {}
        self._destinations: dict[str, str] = {}
        self._surplus_since_s: dict[str, float] = {}
        self._wants_list = True

    async def run(self) -> None:
        """Compare load and size in a fixed period until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            now_s = self._clock.read_monotonic_s()
            self._settle(now_s)
            moves = choose_moves(self._list_loads(now_s))
            self._wants_list = bool(moves or self._orders)
            fresh = self._watch.find_age_s(now_s) < LIST_AGE_LIMIT_S
            if moves and fresh and self._may_order(now_s):
                await self._order_all(moves)

    def is_busy(self) -> bool:
        """Return whether a fresh list of VMs is needed."""
        return self._wants_list

    def _may_order(self, now_s: float) -> bool:
        turn_over = now_s - self._term.taken_s >= self._order_turn_s
        return self._keeper.is_valid() and (self._term.epoch == 1 or turn_over)

    def _settle(self, now_s: float) -> None:
        for name, order in list(self._orders.items()):
            vm = self._watch.vms.get(name)
            gone = vm is None
            arrived = vm is not None and vm.up and vm.target_id != order.target_id
            if gone or arrived:
                self._forget(name)
            elif now_s - order.sent_s > LATE_ORDER_S:
                log.info('VM %s: move was not carried out', name)
                self._release(order.target_id)
                self._forget(name)

    def _forget(self, name: str) -> None:
        del self._orders[name]
        del self._destinations[name]

    def _release(self, target_id: str) -> None:
        record = self._board.targets.get(target_id)
        if record is not None:
            self._board.take_back_order(record)
            self._wake()

    def _list_loads(self, now_s: float) -> list[PoolLoad]:
        rules = self._rules.rules
        if rules is None:
            return []
        loads: list[PoolLoad] = []
        for pool in rules.pools.values():
            vms = [vm for vm in self._watch.vms.values() if vm.pool == pool.name]
            load = self._describe(pool.name, pool.standby, vms, now_s)
            loads.append(load)
        return loads

    def _describe(self, pool: str, standby: bool, vms: list[Vm], now_s: float) -> PoolLoad:
        idle = tuple(
            vm.name for vm in vms if vm.name not in self._orders and self._is_idle(vm, standby)
        )
        load = PoolLoad(
            pool=pool,
            standby=standby,
            load_vms=self._board.measure_load(pool),
            usable=sum(target.may_start(now_s) for target in self._board.list_pool_targets(pool)),
            arriving=sum(destination == pool for destination in self._destinations.values()),
            idle_vms=idle,
        )
        if standby or find_surplus(load) <= 0:
            self._surplus_since_s.pop(pool, None)
            return load
        since_s = self._surplus_since_s.setdefault(pool, now_s)
        return PoolLoad(
            load.pool,
            load.standby,
            load.load_vms,
            load.usable,
            load.arriving,
            load.idle_vms,
            now_s - since_s,
        )

    def _is_idle(self, vm: Vm, standby: bool) -> bool:
        if not vm.up:
            return False
        record = self._board.targets.get(vm.target_id)
        if record is None:
            return standby
        busy = record.runs or record.emptying or record.entry.draining or record.leaving
        return not busy

    async def _order_all(self, moves: list[VmMove]) -> None:
        async with trio.open_nursery() as nursery:
            for move in moves:
                nursery.start_soon(self._order, move)

    async def _order(self, move: VmMove) -> None:
        vm = self._watch.vms[move.vm]
        record = self._board.targets.get(vm.target_id)
        if record is not None and record.runs:
            return
        if record is not None:
            record.emptying = True
        now_s = self._clock.read_monotonic_s()
        self._orders[vm.name] = VmOrder(vm.name, vm.target_id, now_s)
        self._destinations[vm.name] = move.pool
        answer = await self._vm_client.move(vm.name, move.pool, self._node, self._term.epoch)
        log.info('VM %s: move from %s to %s: %s', vm.name, vm.pool, move.pool, answer)
        if answer is VmOrderAnswer.REFUSED:
            self._release(vm.target_id)
            self._forget(vm.name)
