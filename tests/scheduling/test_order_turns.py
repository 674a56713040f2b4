"""Orders of two holders for one VM are kept apart, and other VMs don't wait."""

from collections.abc import Sequence
from typing import cast

import pytest

from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.order_turns import OrderTurns
from comfreywind.scheduling.term_keeper import HeldTerm
from tests.helpers.manual_clock import ManualClock

TURN_S = 3.0


class OneRow:
    """A store with one row; `away` lets its calls fail."""

    def __init__(self) -> None:
        """Start without the row."""
        self.payload: bytes | None = None
        self.version = 0
        self.writes = 0
        self.away = False

    async def read_row(self, table: str, part: str, key: str) -> StoredRow:
        """Return the row."""
        return StoredRow(table, part, key, self.payload, self.version)

    async def commit(self, part: str, changes: Sequence[RowChange]) -> int:
        """Write the row when its version is the expected one."""
        if self.away:
            raise StoreUnavailableError('away')
        change = changes[0]
        if change.expected_version != self.version:
            raise RowsChangedError((await self.read_row(change.table, part, change.key),))
        self.payload = change.payload
        self.version += 1
        self.writes += 1
        return self.version


class Rig:
    """Holders one after another over one row."""

    def __init__(self) -> None:
        """Start at time 0 without any holder."""
        self.row = OneRow()
        self.clock = ManualClock()
        self._epoch = 0

    async def take_term(self) -> OrderTurns:
        """Return the turns of the next holder."""
        self._epoch += 1
        term = HeldTerm(self._epoch, 1, self.clock.read_monotonic_s())
        turns = OrderTurns(cast('RowsClient', self.row), term, TURN_S, self.clock)
        await turns.load()
        return turns


async def test_successor() -> None:
    """Guards against two holders that order one VM, and against a successor that orders none.

    Before, a successor left all VMs alone for the turn: in a rolling restart with 2 s for each node
    no VM moved for 20 s.
    """
    rig = Rig()
    first = await rig.take_term()
    assert first.is_open('a')
    assert await first.announce(['a'])
    second = await rig.take_term()
    assert not second.is_open('a')
    assert second.is_open('b')
    rig.clock.advance(TURN_S)
    assert second.is_open('a')


async def test_quick_changes() -> None:
    """Guards against a third holder that orders a VM which the first one has just ordered."""
    rig = Rig()
    first = await rig.take_term()
    assert await first.announce(['a'])
    second = await rig.take_term()
    assert await second.announce(['b'])
    third = await rig.take_term()
    assert not (third.is_open('a') or third.is_open('b'))


async def test_old_orders() -> None:
    """Guards against a row that names more and more VMs."""
    rig = Rig()
    first = await rig.take_term()
    assert await first.announce(['a'])
    rig.clock.advance(10)
    assert await first.announce(['b'])
    second = await rig.take_term()
    assert second.is_open('a')
    assert not second.is_open('b')


async def test_repeated_order() -> None:
    """Guards against a write for each repetition of an order."""
    rig = Rig()
    first = await rig.take_term()
    assert await first.announce(['a'])
    assert await first.announce(['a'])
    assert rig.row.writes == 1


async def test_store_away() -> None:
    """Guards against an order that a successor would not know of."""
    rig = Rig()
    first = await rig.take_term()
    rig.row.away = True
    assert not await first.announce(['a'])
    rig.row.away = False
    assert await first.announce(['a'])


async def test_replaced_holder() -> None:
    """Guards against an earlier holder that goes on after another one has written the row."""
    rig = Rig()
    first = await rig.take_term()
    second = await rig.take_term()
    assert await second.announce(['a'])
    assert not await first.announce(['b'])


@pytest.mark.parametrize('garbage', [b'\xc1', b'\x01'])
async def test_unreadable_row(garbage: bytes) -> None:
    """Guards against orders for VMs that an earlier holder may have ordered."""
    rig = Rig()
    await rig.take_term()
    rig.row.payload = garbage
    second = await rig.take_term()
    assert not second.is_open('a')
    rig.clock.advance(TURN_S)
    assert second.is_open('a')
