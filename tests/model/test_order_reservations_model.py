"""Random histories of successive holders that order VMs, with pauses, delays and lost answers."""

import math
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import cast

import pytest

from comfreywind.decisions.scheduling.fences import FENCES_PER_TERM
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.store_time import StoreTime
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling import order_reservations
from comfreywind.scheduling.order_reservations import OrderReservations
from comfreywind.scheduling.term_keeper import HeldTerm
from tests.helpers.manual_clock import ManualClock

SEEDS = 800
HOLDERS = 5
RESERVATION_S = 3.0
VMS = ('a', 'b', 'c')
# A process may pause between its last check of the clock and the sending, as for the term itself.
MAX_ARRIVAL_S = 0.4
LOST_ANSWERS_RATIO = 0.15
STORE_AHEAD_MS = 7_000_000
MS_PER_S = 1000


@dataclass
class Store:
    """A row whose commits take a while, and may take effect without an answer."""

    clock: ManualClock
    generator: random.Random
    payload: bytes | None = None
    version: int = 0

    @property
    def store_time(self) -> StoreTime:
        """Return a reading of the clock up to 1 s old; many readings are exact."""
        asked_s = self.clock.read_monotonic_s() - self.generator.uniform(0, 1)
        read_s = asked_s + self.generator.choice((0, 0, 0.2))
        answered_s = read_s + self.generator.choice((0, 0, 0.2))
        return StoreTime(STORE_AHEAD_MS + read_s * MS_PER_S, asked_s, answered_s)

    async def read_row(self, table: str, part: str, key: str) -> StoredRow:
        """Return the row."""
        return StoredRow(table, part, key, self.payload, self.version)

    async def commit(self, part: str, changes: Sequence[RowChange]) -> int:
        """Write the row when its version is the expected one."""
        self.clock.advance(self.generator.choice((0.01, 0.01, 0.7)))
        change = changes[0]
        if change.expected_version != self.version:
            raise RowsChangedError((await self.read_row(change.table, part, change.key),))
        self.payload = change.payload
        self.version += 1
        if self.generator.random() < LOST_ANSWERS_RATIO:
            raise StoreUnavailableError('no answer')
        return self.version


@dataclass
class History:
    """Successive holders; `arrivals` has VM, term and time of each order at the service."""

    seed: int
    arrivals: list[tuple[str, int, float]] = field(default_factory=list)

    async def run(self) -> None:
        """Run the terms of all holders."""
        generator = random.Random(self.seed)
        clock = ManualClock()
        store = Store(clock, generator)
        for epoch in range(1, HOLDERS + 1):
            term = HeldTerm(epoch * FENCES_PER_TERM, 1, clock.read_monotonic_s())
            reservations = OrderReservations(cast('RowsClient', store), term, RESERVATION_S, clock)
            await reservations.load()
            await self._run_term(reservations, epoch, clock, generator)
            # A released term is taken at once, another one after the holder has stopped.
            clock.advance(generator.choice((0.02, 0.4, 2.0)))

    async def _run_term(
        self,
        reservations: OrderReservations,
        epoch: int,
        clock: ManualClock,
        generator: random.Random,
    ) -> None:
        end_s = clock.read_monotonic_s() + generator.choice((0.3, 1, 6))
        while clock.read_monotonic_s() < end_s:
            clock.advance(0.05)
            chosen = [vm for vm in VMS if reservations.may_reserve(vm)]
            if chosen and await reservations.reserve(chosen):
                self._send(reservations, epoch, chosen, clock, generator, end_s)

    def _send(
        self,
        reservations: OrderReservations,
        epoch: int,
        vms: Collection[str],
        clock: ManualClock,
        generator: random.Random,
        end_s: float,
    ) -> None:
        for vm in vms:
            clock.advance(generator.choice((0, 0.01, 0.28, 1.5)))
            now_s = clock.read_monotonic_s()
            if reservations.may_send(vm) and now_s < end_s:
                arrival_s = now_s + generator.choice((0, MAX_ARRIVAL_S))
                self.arrivals.append((vm, epoch, arrival_s))

    def compute_shortest_gap_s(self) -> float:
        """Return the shortest time between orders of two holders for one VM."""
        return min(
            (
                abs(first_s - second_s)
                for vm, epoch, first_s in self.arrivals
                for other_vm, other_epoch, second_s in self.arrivals
                if vm == other_vm and epoch != other_epoch
            ),
            default=math.inf,
        )


async def compute_shortest_gap_s() -> float:
    """Return the shortest gap over all seeds."""
    gaps_s = []
    for seed in range(SEEDS):
        history = History(seed)
        await history.run()
        gaps_s.append(history.compute_shortest_gap_s())
    return min(gaps_s)


async def test_orders_keep_their_distance() -> None:
    """Two holders never order the same VM within the users' lease."""
    assert await compute_shortest_gap_s() >= RESERVATION_S


def _always_send(self: OrderReservations, vm: str) -> bool:
    return True


def _always_reserve(self: OrderReservations, vm: str) -> bool:
    return True


def _always_obsolete(self: OrderReservations) -> bool:
    return True


@pytest.mark.parametrize(
    ('name', 'broken'),
    [
        ('may_send', _always_send),
        ('may_reserve', _always_reserve),
        ('_is_earlier_obsolete', _always_obsolete),
    ],
)
async def test_protection_taken_out(
    monkeypatch: pytest.MonkeyPatch, name: str, broken: Callable[..., bool]
) -> None:
    """The model finds the fault when one of the protections is missing."""
    monkeypatch.setattr(OrderReservations, name, broken)
    assert await compute_shortest_gap_s() < RESERVATION_S


async def test_arrival_margin_taken_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """The model has orders that take time to arrive, so it finds the fault without the margin."""
    monkeypatch.setattr(order_reservations, 'ARRIVAL_MARGIN_S', 0)
    assert await compute_shortest_gap_s() < RESERVATION_S
