"""The row of targets that may have runs, while the store is slow or answers are lost.

The row is written ahead of the starts by a task of its own, and only starts on targets that it does
not name yet wait for it. In the log of prevoz-plan-large, whose 1,700 moves a day register as many
new targets, each plan waited for a transaction, up to a second with a slow store.
"""

from collections.abc import Sequence
from typing import cast

import trio

from comfreywind.errors import RowsChangedError, StoreRefusedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.target_registry import RETRY_S, SHRINK_INTERVAL_S, TargetRegistry
from comfreywind.scheduling.term_row import decode_registry, encode_registry
from tests.helpers.scheduler_harness import SchedulerHarness, make_job
from tests.helpers.trio_clock import TrioClock

COMMIT_S = 1.0
OTHER_JOB_ID = '00000000000000a2'


class SlowStore:
    """A store of one row, with writes that take a second and may fail after taking effect."""

    def __init__(self) -> None:
        """Start without a row."""
        self.payload: bytes | None = None
        self.version = 0
        self.faults: list[Exception] = []
        self.permitted = True

    async def commit(self, part: str, changes: Sequence[RowChange], permit: Permit) -> int:
        """Write the row, then return its version or raise the next fault."""
        (change,) = changes
        if not permit():
            raise StoreRefusedError('not permitted')
        await trio.sleep(COMMIT_S)
        if change.expected_version != self.version:
            row = StoredRow(change.table, part, change.key, self.payload, self.version)
            raise RowsChangedError((row,))
        self.payload, self.version = change.payload, self.version + 1
        if self.faults:
            raise self.faults.pop()
        return self.version

    def list_names(self) -> frozenset[str]:
        """Return the targets that the row names."""
        return decode_registry(self.payload)


def start_target_registry(
    nursery: trio.Nursery, harness: SchedulerHarness, store: SlowStore
) -> TargetRegistry:
    """Run the target registry and let it check the targets of the scheduler state."""
    rows = cast('RowsClient', store)
    registry = TargetRegistry(
        rows, harness.scheduler_state, TrioClock(), lambda: None, lambda: store.permitted
    )
    nursery.start_soon(registry.run)
    registry.update()
    return registry


def add_new_target(harness: SchedulerHarness, name: str) -> None:
    """Register a target that has reported and is not in the row yet."""
    harness.add_target(name)
    harness.scheduler_state.targets[name].in_registry = False


async def test_work_goes_on(autojump_clock: trio.testing.MockClock) -> None:
    """Starts on stored targets must not wait for a slow store when another target registers."""
    harness, store = SchedulerHarness(targets=1, cpu=1000), SlowStore()
    harness.add_job()
    harness.add_job(make_job(job_id=OTHER_JOB_ID))
    async with trio.open_nursery() as nursery:
        add_new_target(harness, 'late')
        start_target_registry(nursery, harness, store)
        await trio.sleep(0.1)
        assert [order.target_id for order in harness.start()] == ['t0']
        assert not harness.plan()
        await trio.sleep(COMMIT_S)
        assert store.list_names() == {'t0', 'late'}
        assert [order.target_id for order in harness.start()] == ['late']
        nursery.cancel_scope.cancel()


async def test_lost_answers(autojump_clock: trio.testing.MockClock) -> None:
    """A target gets work although the answers to the writes that stored it were lost."""
    harness, store = SchedulerHarness(targets=0), SlowStore()
    store.faults = [StoreUnavailableError('lost'), StoreUnavailableError('lost')]
    add_new_target(harness, 'late')
    async with trio.open_nursery() as nursery:
        start_target_registry(nursery, harness, store)
        while not harness.scheduler_state.targets['late'].in_registry:
            await trio.sleep(0.01)
            assert trio.current_time() < 6 * (COMMIT_S + RETRY_S)
        assert store.list_names() == {'late'}
        nursery.cancel_scope.cancel()


async def test_target_leaves_the_row(autojump_clock: trio.testing.MockClock) -> None:
    """A target that recovers while a row without it is being written must not get a run yet."""
    harness, store = SchedulerHarness(targets=0), SlowStore()
    add_new_target(harness, 'late')
    async with trio.open_nursery() as nursery:
        registry = start_target_registry(nursery, harness, store)
        await trio.sleep(COMMIT_S + SHRINK_INTERVAL_S)
        record = harness.scheduler_state.targets['late']
        record.silent = True
        registry.update()
        await trio.sleep(0.1)
        record.silent = False
        assert not record.may_start(harness.now_s)
        with trio.fail_after(5 * COMMIT_S):
            while not record.may_start(harness.now_s):
                registry.update()
                await trio.sleep(0.1)
        assert store.list_names() == {'late'}
        nursery.cancel_scope.cancel()


async def test_row_of_later_holder(autojump_clock: trio.testing.MockClock) -> None:
    """A holder whose term has ended must not overwrite the row of its successor.

    A conflict gives it the version of that row, with which its next attempt would succeed.
    """
    harness, store = SchedulerHarness(targets=0), SlowStore()
    add_new_target(harness, 'late')
    async with trio.open_nursery() as nursery:
        start_target_registry(nursery, harness, store)
        await trio.sleep(COMMIT_S / 2)
        store.payload, store.version = encode_registry(frozenset(('theirs',))), 7
        store.permitted = False
        await trio.sleep(5 * COMMIT_S)
        assert store.list_names() == {'theirs'}
        assert not harness.scheduler_state.targets['late'].in_registry
        nursery.cancel_scope.cancel()
