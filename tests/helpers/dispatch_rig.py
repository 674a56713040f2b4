"""Test harness: dispatchers of several entries and targets that reject requests when full."""

import random
from collections import Counter, defaultdict
from typing import Any

import trio

from comfreywind.bundle.parse import make_rules, parse_bundle
from comfreywind.decisions.refusal import RefusalReason
from comfreywind.entry.dispatch_policy import make_policy
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.load_exchange import LoadExchange
from comfreywind.entry.placement import Placement
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.ticket import Ticket
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.settings.address import Address
from tests.helpers.free_units import FreeUnits
from tests.helpers.memory_hub import MemoryHub
from tests.helpers.trio_clock import TrioClock

SLOTS = 8
POOL = 'crossings'
ROUND_TRIP_S = 0.001
REPORT_INTERVAL_S = 0.25


def make_bundle(weights: dict[str, float], ceiling_units: int = 1000) -> dict[str, Any]:
    """Return a bundle with a normal and an urgent queue that all teams may use."""
    names = list(weights)
    return {
        'teams': {
            name: {'weight': weight, 'ceiling_units': ceiling_units}
            for name, weight in weights.items()
        },
        'pools': {POOL: {'slots_per_vm': SLOTS}},
        'queues': {
            'rebuild': {'pool': POOL, 'teams': names, 'queue_limit': 200},
            'urgent': {'pool': POOL, 'teams': names, 'urgent': True},
        },
    }


class DispatchHarness:
    """Simulates entries and targets; a request occupies a slot for its run time."""

    def __init__(
        self,
        weights: dict[str, float],
        entries: int = 1,
        targets: int = 4,
        policy: str = 'shares',
        ceiling_units: int = 1000,
    ) -> None:
        """Start without requests."""
        rules = make_rules(parse_bundle(make_bundle(weights, ceiling_units), 'test'), 1)
        self.queues = rules.queues
        self.vms = [_make_vm(index) for index in range(targets)]
        self.units = [FreeUnits() for _ in range(entries)]
        self.fleet_views: list[FleetView] = []
        self.dispatchers: list[Dispatcher] = []
        self.exchanges: list[LoadExchange] = []
        self.busy: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self.target_refusals = 0
        self.service_s: defaultdict[str, float] = defaultdict(float)
        self.start_waits_s: defaultdict[str, list[float]] = defaultdict(list)
        self.results: Counter[tuple[str, str]] = Counter()
        hubs: list[MemoryHub] = []
        for index in range(entries):
            self._add_entry(index, policy, rules, hubs)

    def _add_entry(self, index: int, policy: str, rules: Any, hubs: list[MemoryHub]) -> None:
        clock = TrioClock()
        rules_view = RulesView(clock, 1000)
        fleet_view = FleetView()
        dispatcher = Dispatcher(
            rules_view,
            fleet_view,
            self.units[index],
            clock,
            policy=make_policy(policy),
            entry_name=f'entry-{index}',
            data_centre='dc-1',
            generator=random.Random(index),
        )
        fleet_view.apply_vm_list(self.vms)
        rules_view.apply_rules(rules)
        self.fleet_views.append(fleet_view)
        self.dispatchers.append(dispatcher)
        self.exchanges.append(LoadExchange(MemoryHub(f'entry-{index}', hubs), dispatcher, clock))

    def make_ticket(self, team: str, queue: str = 'rebuild', wait_s: float = 30) -> Ticket:
        """Return a ticket whose deadline is `wait_s` seconds from now."""
        deadline_s = trio.current_time() + wait_s
        return Ticket('request', self.queues[queue], team, deadline_s)

    async def run_reports(self) -> None:
        """Exchange load reports; the entries report at staggered times."""
        async with trio.open_nursery() as nursery:
            for exchange in self.exchanges:
                nursery.start_soon(exchange.run, REPORT_INTERVAL_S)
                await trio.sleep(REPORT_INTERVAL_S / len(self.exchanges))

    async def call(
        self,
        team: str,
        run_s: float,
        entry: int = 0,
        queue: str = 'rebuild',
        wait_s: float = 30,
    ) -> None:
        """Send one request through an entry and count its result."""
        dispatcher = self.dispatchers[entry]
        ticket = self.make_ticket(team, queue, wait_s)
        arrived_s = trio.current_time()
        try:
            placement = await dispatcher.acquire(ticket)
            while not await self._run_at(placement, dispatcher, queue, run_s, arrived_s):
                placement = await dispatcher.reacquire(ticket, placement)
        except RefusalError as error:
            self.results[team, error.refusal.reason.problem] += 1
            return
        in_time = trio.current_time() <= ticket.deadline_s
        self.results[team, 'in-time' if in_time else 'late'] += 1

    async def call_at_rate(
        self, team: str, run_s: float, rate_hz: float, entry: int = 0, **call_options: Any
    ) -> None:
        """Send requests at a fixed rate until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(lambda: self.call(team, run_s, entry, **call_options))
                await trio.sleep(1 / rate_hz)

    def count_refused(self, team: str, reason: RefusalReason) -> int:
        """Return how many requests of the team were refused for the reason."""
        return self.results[team, reason.problem]

    async def _run_at(
        self,
        placement: Placement,
        dispatcher: Dispatcher,
        queue: str,
        run_s: float,
        arrived_s: float,
    ) -> bool:
        """Run the request and release its placement.

        Returns False, with the placement still held, if the target rejected the request as full.
        """
        accepted = False
        try:
            await trio.sleep(ROUND_TRIP_S)
            accepted = self.busy[placement.target.name] < SLOTS
            if accepted:
                self.start_waits_s[queue].append(trio.current_time() - arrived_s)
                await self._occupy(placement.target.name, placement.team, run_s)
        except trio.Cancelled:
            dispatcher.release(placement)
            raise
        if not accepted:
            self.target_refusals += 1
            return False
        dispatcher.release(placement)
        return True

    async def _occupy(self, target: str, team: str, run_s: float) -> None:
        started_s = trio.current_time()
        self.busy[target] += 1
        self.running[team] += 1
        try:
            await trio.sleep(run_s)
        finally:
            self.busy[target] -= 1
            self.running[team] -= 1
            self.service_s[team] += trio.current_time() - started_s


def _make_vm(index: int) -> VmEntry:
    address = Address('127.0.0.1', 1 + index)
    return VmEntry(f'vm-{index}', address, f'dc-{index % 2 + 1}', 'rack', POOL, 'live', 1)
