"""Reservations keep the orders of two holders for one VM apart, and no other VM waits."""

from collections.abc import Sequence
from typing import cast

import msgpack
import pytest

from comfreywind.decisions.scheduling.fences import FENCES_PER_TERM
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.store_time import StoreTime
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.order_reservations import OrderReservations
from comfreywind.scheduling.term_keeper import HeldTerm
from tests.helpers.manual_clock import ManualClock

RESERVATION_S = 3.0
STORE_AHEAD_MS = 5_000_000
MS_PER_S = 1000
# Length of the send window of a reservation, and the maximum time of an order to the service.
SEND_S = 0.6
ARRIVAL_S = 0.4


class OneRow:
    """A store with one row; `away` lets its calls fail, `commit_s` is what a commit takes."""

    def __init__(self, clock: ManualClock) -> None:
        """Start without the row; the store's clock is ahead of the other one."""
        self._clock = clock
        self.commit_s: float = 0
        self.payload: bytes | None = None
        self.version = 0
        self.writes = 0
        self.away = False

    @property
    def store_time(self) -> StoreTime:
        """Return a reading of the store's clock that took 10 ms."""
        now_s = self._clock.read_monotonic_s()
        return StoreTime(STORE_AHEAD_MS + now_s * MS_PER_S, now_s - 0.01, now_s)

    async def read_row(self, table: str, part: str, key: str) -> StoredRow:
        """Return the row."""
        return StoredRow(table, part, key, self.payload, self.version)

    async def commit(self, part: str, changes: Sequence[RowChange]) -> int:
        """Write the row when its version is the expected one."""
        self._clock.advance(self.commit_s)
        if self.away:
            raise StoreUnavailableError('away')
        change = changes[0]
        if change.expected_version != self.version:
            raise RowsChangedError((await self.read_row(change.table, part, change.key),))
        self.payload = change.payload
        self.version += 1
        self.writes += 1
        return self.version


class Harness:
    """A sequence of holders that use one row."""

    def __init__(self) -> None:
        """Start at time 0 without any holder."""
        self.clock = ManualClock()
        self.row = OneRow(self.clock)
        self._epoch = 0

    async def take_term(self) -> OrderReservations:
        """Return the reservations of the next holder."""
        self._epoch += 1
        term = HeldTerm(self._epoch * FENCES_PER_TERM, 1, self.clock.read_monotonic_s())
        reservations = OrderReservations(
            cast('RowsClient', self.row), term, RESERVATION_S, self.clock
        )
        await reservations.load()
        return reservations


async def test_successor() -> None:
    """A successor orders no VM that its predecessor has reserved, and all others at once.

    If it waited for all VMs, none would move for 20 s in a rolling restart with 2 s for each node.
    """
    harness = Harness()
    first = await harness.take_term()
    assert first.may_reserve('a')
    assert await first.reserve(['a'])
    second = await harness.take_term()
    assert not second.may_reserve('a')
    assert second.may_reserve('b')
    harness.clock.advance(RESERVATION_S + ARRIVAL_S + 0.01)
    assert second.may_reserve('a')


async def test_quick_changes() -> None:
    """A third holder respects the reservations of the first one, which the second one keeps."""
    harness = Harness()
    first = await harness.take_term()
    assert await first.reserve(['a'])
    second = await harness.take_term()
    assert await second.reserve(['b'])
    third = await harness.take_term()
    assert not (third.may_reserve('a') or third.may_reserve('b'))


async def test_old_orders() -> None:
    """Expired reservations leave the row, which would name more and more VMs otherwise."""
    harness = Harness()
    first = await harness.take_term()
    assert await first.reserve(['a'])
    harness.clock.advance(10)
    assert await first.reserve(['b'])
    second = await harness.take_term()
    assert second.may_reserve('a')
    assert not second.may_reserve('b')


async def test_repeated_order() -> None:
    """An order that is repeated within its send window costs no further write."""
    harness = Harness()
    first = await harness.take_term()
    assert await first.reserve(['a'])
    assert await first.reserve(['a'])
    assert harness.row.writes == 1


async def test_store_away() -> None:
    """A VM isn't reserved without the row, because a successor would not know of the order."""
    harness = Harness()
    first = await harness.take_term()
    harness.row.away = True
    assert not await first.reserve(['a'])
    harness.row.away = False
    assert await first.reserve(['a'])


async def test_replaced_holder() -> None:
    """An earlier holder can't reserve VMs after another one has written the row."""
    harness = Harness()
    first = await harness.take_term()
    second = await harness.take_term()
    assert await second.reserve(['a'])
    assert not await first.reserve(['b'])


@pytest.mark.parametrize('garbage', [b'\xc1', b'\x01'])
async def test_unreadable_row(garbage: bytes) -> None:
    """With an unreadable row any VM may be reserved by an earlier holder, so none is ordered."""
    harness = Harness()
    await harness.take_term()
    harness.row.payload = garbage
    second = await harness.take_term()
    assert not second.may_reserve('a')
    harness.clock.advance(RESERVATION_S + ARRIVAL_S + 0.01)
    assert second.may_reserve('a')


async def test_reservation_counts_from_the_order() -> None:
    """A reservation lasts from the order, not from the takeover, so that pools can grow sooner.

    Seen on prevoz-plan-large inc-a037: the VMs had moved to standby in the seconds before, and a
    successor didn't order them for 3 s after its own start, in the first seconds of a burst.
    """
    harness = Harness()
    first = await harness.take_term()
    assert await first.reserve(['a'])
    harness.clock.advance(2.5)
    second = await harness.take_term()
    harness.clock.advance(SEND_S + RESERVATION_S - 2.5)
    assert not second.may_reserve('a')
    harness.clock.advance(ARRIVAL_S + 0.1)
    assert second.may_reserve('a')


async def test_paused_after_announcement() -> None:
    """A paused holder sends no order after its window, when a successor may have sent one."""
    harness = Harness()
    reservations = await harness.take_term()
    assert await reservations.reserve(['a'])
    assert reservations.may_send('a')
    assert not reservations.may_send('b')
    harness.clock.advance(SEND_S + 0.1)
    assert not reservations.may_send('a')
    assert await reservations.reserve(['a'])
    assert reservations.may_send('a')
    assert harness.row.writes == 2


async def test_slow_store() -> None:
    """The send window grows on a slow store, where it would be over once the row is written."""
    harness = Harness()
    harness.row.commit_s = 1.0
    reservations = await harness.take_term()
    await reservations.reserve(['a'])
    await reservations.reserve(['a'])
    assert reservations.may_send('a')


async def test_row_without_times() -> None:
    """The row of a node of the previous version, without times, reserves the VMs that it names."""
    harness = Harness()
    harness.row.payload = msgpack.packb(['a'])
    await harness.take_term()
    reservations = await harness.take_term()
    assert not reservations.may_reserve('a')
    assert reservations.may_reserve('b')
    harness.clock.advance(RESERVATION_S + ARRIVAL_S + 0.01)
    assert reservations.may_reserve('a')


async def test_order_on_its_way_at_release() -> None:
    """A reservation includes the time of an order that was sent just before a release of the term.

    Found by tests/model/test_order_reservations_model.py with seed 785: orders 2.97 s apart.
    """
    harness = Harness()
    first = await harness.take_term()
    assert await first.reserve(['a'])
    second = await harness.take_term()
    harness.clock.advance(RESERVATION_S + ARRIVAL_S - 0.1)
    assert not second.may_reserve('a')
