"""During a hand-over, the old and the new holder both act for a moment and send orders twice.

The test runs random schedules of slow, lost and refused replies of the store. It found the fault
once in 40 schedules: a renewal that shortened the term had taken effect, but its reply was lost.
`tests/model/handover_model.py` checks the orders of two holders exhaustively for one task, and
`test_paused_process.py` covers an order that waits for a connection until its term has ended.
"""

import random
from collections.abc import Sequence
from typing import cast

import pytest
import trio

from comfreywind.errors import RowsChangedError, StoreRefusedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.http.service_contact import ServiceContact
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.term_keeper import TermKeeper
from tests.helpers.trio_clock import TrioClock

NODES = 4
WATCH_S = 60
SAMPLE_S = 0.02
CALL_TIMEOUT_S = 1.5


class TermRowStore:
    """The stored row of the term, shared by all nodes."""

    def __init__(self) -> None:
        """Start without a row."""
        self.payload: bytes | None = None
        self.version = 0


class FaultyRows:
    """One node's client of the store, with random delays, lost replies and refusals."""

    store_time = None

    def __init__(self, store: TermRowStore, generator: random.Random) -> None:
        """Use the shared store and a random generator for the faults."""
        self._store = store
        self._random = generator
        self.contact = ServiceContact('store', TrioClock())
        self.commit_took_s: float = 0

    async def read_row(self, table: str, partition: str, key: str) -> StoredRow:
        """Return the row as it is when the request arrives, with a delay before and after."""
        await self._delay_message()
        row = StoredRow(table, partition, key, self._store.payload, self._store.version)
        await self._delay_message()
        return row

    async def commit(
        self, partition: str, changes: Sequence[RowChange], permit: Permit | None = None
    ) -> int:
        """Write the row if its version is expected; refuse some calls and lose some replies."""
        await self._delay_message()
        if self._random.random() < 0.1:
            raise StoreRefusedError('503')
        (change,) = changes
        if change.expected_version != self._store.version:
            row = StoredRow(
                change.table, partition, change.key, self._store.payload, self._store.version
            )
            raise RowsChangedError((row,))
        self._store.payload = change.payload
        self._store.version += 1
        version = self._store.version
        if self._random.random() < 0.1:
            await trio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailableError('reply lost')
        await self._delay_message()
        return version

    async def _delay_message(self) -> None:
        slow = self._random.random() < 0.15
        await trio.sleep(self._random.uniform(0, 0.7 if slow else 0.01))


@pytest.mark.parametrize('seed', range(40))
async def test_one_holder(autojump_clock: trio.testing.MockClock, seed: int) -> None:
    """Never lets two nodes hold a valid term at once, and some node holds one most of the time.

    Two holders at once could start a task twice; without a holder nothing is scheduled. Nodes
    release the term and new ones join throughout the test.
    """
    generator = random.Random(seed)
    store = TermRowStore()
    epochs: list[int] = []
    held_samples = 0

    def make_keeper(number: int) -> TermKeeper:
        rows = cast('RowsClient', FaultyRows(store, generator))
        return TermKeeper(rows, f'node-{number}', TrioClock(), cores=2)

    async with trio.open_nursery() as nursery:
        keepers = [make_keeper(number) for number in range(NODES)]
        for keeper in keepers:
            nursery.start_soon(keeper.run)
        for sample in range(int(WATCH_S / SAMPLE_S)):
            await trio.sleep(SAMPLE_S)
            valid = [keeper for keeper in keepers if keeper.is_valid()]
            assert len(valid) <= 1
            held_samples += len(valid)
            for keeper in valid:
                assert keeper.held is not None
                epochs.append(keeper.held.epoch)
            if valid and sample % 500 == 499:
                nursery.start_soon(valid[0].release)
                keepers.append(make_keeper(len(keepers)))
                nursery.start_soon(keepers[-1].run)
        nursery.cancel_scope.cancel()
    assert epochs == sorted(epochs)
    assert held_samples * SAMPLE_S > WATCH_S / 2
