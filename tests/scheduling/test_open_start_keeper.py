"""The row of open starts: written soon, kept through faults of the store, read by the next holder."""

from typing import cast

import pytest
import trio

from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.task_key import TaskKey
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.open_start_keeper import OpenStartKeeper
from comfreywind.scheduling.open_start_row import decode_open_starts
from comfreywind.scheduling.open_starts import OpenStarts
from tests.helpers.trio_clock import TrioClock

KEY = TaskKey('00000000000000a1', 0, 1, 2)
OTHER_KEY = KEY._replace(number=3)
LEASE_LIMIT_S = 6.0
ROW_BYTES = 16_384


class OneRow:
    """A store of one row; a write with a fault takes effect only if the fault is a lost reply."""

    def __init__(self) -> None:
        """Start without a row."""
        self.payload: bytes | None = None
        self.version = 0
        self.faults: list[str] = []

    async def read_row(self, table: str, part: str, key: str) -> StoredRow:
        """Return the row."""
        return StoredRow(table, part, key, self.payload, self.version)

    async def commit(self, part: str, changes: list[RowChange], permit: Permit) -> int:
        """Write the row."""
        await trio.sleep(0.01)
        (change,) = changes
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'down':
            raise StoreUnavailableError('down')
        if change.expected_version != self.version:
            raise RowsChangedError((await self.read_row(change.table, part, change.key),))
        self.payload, self.version = change.payload, self.version + 1
        if fault == 'lost':
            raise StoreUnavailableError('lost')
        return self.version


def make_keeper(row: OneRow) -> tuple[OpenStartKeeper, OpenStarts]:
    """Return the keeper of a new holder."""
    open_starts = OpenStarts(LEASE_LIMIT_S)
    rows = cast('RowsClient', row)
    return OpenStartKeeper(rows, open_starts, TrioClock(), lambda: True, ROW_BYTES), open_starts


@pytest.mark.parametrize('faults', [[], ['down'], ['lost'], ['lost', 'down', 'lost']])
async def test_read_by_next_holder(
    autojump_clock: trio.testing.MockClock, faults: list[str]
) -> None:
    """Binds a task after a takeover to the target to which its unanswered order was sent."""
    row = OneRow()
    row.faults = list(faults)
    keeper, open_starts = make_keeper(row)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keeper.run)
        await trio.sleep(5)
        assert not row.version
        open_starts.add(KEY, 'i-0', 7, trio.current_time())
        await trio.sleep(0.1 + 0.3 * len(faults))
        nursery.cancel_scope.cancel()
    keeper, open_starts = make_keeper(row)
    await keeper.load(trio.current_time())
    assert open_starts.find_target(KEY, trio.current_time()) == 'i-0'
    assert open_starts.find_target(OTHER_KEY, trio.current_time()) is None
    open_starts.close(KEY, 7)
    assert open_starts.find_target(KEY, trio.current_time()) is None


# Guards against a second run of a task whose start was on its way when the holder was lost (TWICE).
@pytest.mark.parametrize(('reply_after_s', 'stored'), [(0.05, False), (0.6, True)])
async def test_start_without_reply_yet(
    autojump_clock: trio.testing.MockClock, reply_after_s: float, stored: bool
) -> None:
    """Stores a start whose reply takes long, and writes nothing for one that is answered soon."""
    row = OneRow()
    keeper, open_starts = make_keeper(row)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keeper.run)
        await trio.sleep(5)
        open_starts.record_sent(KEY, 'i-0', 7, trio.current_time())
        await trio.sleep(reply_after_s)
        assert bool(row.version) is stored
        open_starts.record_returned(KEY, 7)
        await trio.sleep(5)
        nursery.cancel_scope.cancel()
    assert not decode_open_starts(row.payload)


async def test_row_shrinks(autojump_clock: trio.testing.MockClock) -> None:
    """Drops orders from the row that are closed or can't take effect any more."""
    row = OneRow()
    keeper, open_starts = make_keeper(row)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keeper.run)
        open_starts.add(KEY, 'i-0', 7, trio.current_time())
        open_starts.add(OTHER_KEY, 'i-0', 7, trio.current_time())
        await trio.sleep(0.5)
        assert len(decode_open_starts(row.payload)) == 2
        open_starts.close(KEY, 7)
        await trio.sleep(5)
        assert {key for key, *_ in decode_open_starts(row.payload)} == {OTHER_KEY}
        await trio.sleep(30)
        assert not decode_open_starts(row.payload)
        written = row.version
        await trio.sleep(30)
        assert row.version == written
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('payload', [b'\xc1', b'\x01', b'\x91\x01', b'\x91\x93\xa1x\xa1y\x90'])
async def test_unreadable_row(payload: bytes, caplog: pytest.LogCaptureFixture) -> None:
    """Takes over without the open starts of a row that can't be read, and says so."""
    with pytest.raises(RowFormatError):
        decode_open_starts(payload)
    row = OneRow()
    row.payload, row.version = payload, 3
    keeper, open_starts = make_keeper(row)
    await keeper.load(0)
    assert not open_starts.by_key
    assert 'unreadable' in caplog.text


async def test_more_than_a_row(autojump_clock: trio.testing.MockClock) -> None:
    """Stores the latest open starts when all of them make a row too large for the store."""
    row = OneRow()
    keeper, open_starts = make_keeper(row)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keeper.run)
        for number in range(1000):
            for run_id in range(10):
                target_id = 'i-0123456789abcdef'
                open_starts.add(
                    KEY._replace(number=number), target_id, 10**9 + run_id, number / 100
                )
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    stored = decode_open_starts(row.payload)
    assert len(row.payload or b'') <= ROW_BYTES
    assert len(stored) > 100
    assert {key.number for key, *_ in stored} == set(range(1000 - len(stored), 1000))
