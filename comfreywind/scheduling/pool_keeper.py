"""Moves VMs to pools that need them, and idle VMs to standby."""

import logging

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.pool_size import VmMove
from comfreywind.platform.vm_client import VmClient, VmOrderAnswer
from comfreywind.scheduling.order_reservations import OrderReservations
from comfreywind.scheduling.pool_sizer import PoolSizer
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.term_keeper import HeldTerm, TermKeeper
from comfreywind.scheduling.vm_watch import VmWatch

INTERVAL_S = 0.2
# No move is ordered by a list of VMs that is older.
LIST_AGE_LIMIT_S = 2.5

log = logging.getLogger('comfreywind.pools')


class PoolKeeper:
    """The task of the holder that keeps pools at their size."""

    def __init__(
        self,
        term: HeldTerm,
        node: str,
        reservations: OrderReservations,
        vm_client: VmClient,
        watch: VmWatch,
        rules: RulesFollower,
        keeper: TermKeeper,
        sizer: PoolSizer,
        clock: Clock,
    ) -> None:
        """Use the components of the holder."""
        self._term = term
        self._node = node
        self._reservations = reservations
        self._vm_client = vm_client
        self._watch = watch
        self._rules = rules
        self._keeper = keeper
        self._sizer = sizer
        self._clock = clock
        self._needs_list = True

    async def run(self) -> None:
        """Compare the load and the size of the pools every INTERVAL_S until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            rules = self._rules.rules
            if rules is None:
                continue
            now_s = self._clock.read_monotonic_s()
            moves = self._sizer.choose(rules.pools.values(), self._watch.vms, now_s)
            self._needs_list = bool(moves) or self._sizer.has_moves()
            fresh = self._watch.get_list_age_s(now_s) < LIST_AGE_LIMIT_S
            if moves and fresh and self._keeper.is_valid():
                await self._order_all(moves)

    def is_busy(self) -> bool:
        """Return whether a fresh list of VMs is needed, because moves are wanted or in progress."""
        return self._needs_list

    async def _order_all(self, moves: list[VmMove]) -> None:
        if not await self._reservations.reserve([move.vm for move in moves]):
            return
        async with trio.open_nursery() as nursery:
            for move in moves:
                nursery.start_soon(self._order, move)

    async def _order(self, move: VmMove) -> None:
        # A newer list may lack the VM, which was chosen from an older one.
        vm = self._watch.vms.get(move.vm)
        if vm is None or not self._keeper.is_valid():
            return
        if not self._sizer.start_move(vm, move.pool, self._clock.read_monotonic_s()):
            return
        answer = await self._vm_client.move(vm.name, move.pool, self._node, self._term.epoch)
        log.info(
            'VM %s: ordered to move from pool %s to %s: %s', vm.name, vm.pool, move.pool, answer
        )
        if answer is VmOrderAnswer.REFUSED:
            self._sizer.cancel_move(vm)
