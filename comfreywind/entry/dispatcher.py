"""Gives waiting requests a unit of their team and a place at a target."""

import random
from collections import Counter

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.placement import Placement
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.target_health import TargetHealth
from comfreywind.entry.ticket import Ticket
from comfreywind.entry.unit_source import UnitSource
from comfreywind.platform.vm_entry import VmEntry

RETRY_AFTER_S = 1.0
POLL_INTERVAL_S = 0.01


class Dispatcher:
    """Places tickets; a ticket waits in its queue until its deadline."""

    def __init__(
        self,
        rules_view: RulesView,
        fleet_view: FleetView,
        units: UnitSource,
        clock: Clock,
        target_health: TargetHealth,
    ) -> None:
        """Start with nothing waiting."""
        self._rules_view = rules_view
        self._fleet_view = fleet_view
        self._units = units
        self._clock = clock
        self._target_health = target_health
        self._waiting: Counter[tuple[str, str]] = Counter()
        self._outstanding: Counter[str] = Counter()

    async def acquire(self, ticket: Ticket) -> Placement:
        """Return a place at a target; raise RefusalError when there is none in time."""
        queue_key = (ticket.queue.name, ticket.team)
        if self._waiting[queue_key] >= ticket.queue.queue_limit:
            raise RefusalError(
                Refusal(RefusalReason.QUEUE_FULL, 'too many wait', retry_after_s=RETRY_AFTER_S)
            )
        self._waiting[queue_key] += 1
        try:
            return await self._wait_for_place(ticket)
        finally:
            self._waiting[queue_key] -= 1

    def release(self, placement: Placement) -> None:
        """Return the unit and the slot of a request that has ended."""
        self._units.give_back(placement.team)
        self._outstanding[placement.target.name] -= 1

    async def _wait_for_place(self, ticket: Ticket) -> Placement:
        while self._clock.read_monotonic_s() < ticket.deadline_s:
            placement = self._try_place(ticket)
            if placement is not None:
                return placement
            await trio.sleep(POLL_INTERVAL_S)
        raise RefusalError(
            Refusal(
                RefusalReason.DEADLINE_IN_QUEUE,
                'the deadline passed while the request waited',
                retry_after_s=RETRY_AFTER_S,
            )
        )

    def _try_place(self, ticket: Ticket) -> Placement | None:
        rules = self._rules_view.rules
        if rules is None:
            return None
        slots = rules.pools[ticket.queue.pool].slots_per_vm
        usable = self._fleet_view.list_usable(ticket.queue.pool)
        candidates = [
            vm
            for vm in self._target_health.list_admitted(usable, ticket.idempotent)
            if self._outstanding[vm.name] < slots and vm.name not in ticket.excluded_targets
        ]
        if not candidates or not self._units.try_take(ticket.team):
            return None
        pair = random.sample(candidates, min(2, len(candidates)))
        target = min(pair, key=self._find_load)
        self._outstanding[target.name] += 1
        return Placement(target, ticket.team, ticket.queue.pool)

    def _find_load(self, vm: VmEntry) -> int:
        return self._outstanding[vm.name] + self._target_health.count_failure_load(vm)
