"""A table service in memory that can lose replies and be down."""

from collections.abc import Sequence
from dataclasses import asdict

import trio

from comfreywind.errors import RowConflictError, StoreUnavailableError
from comfreywind.platform.row import Row
from comfreywind.platform.row_write import RowWrite
from comfreywind.stand_ins import table_store


class MemoryTables:
    """Takes the place of `TableClient`; counts transactions."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.store = table_store.TableStore()
        self.lose_replies = 0
        self.down = False
        self.latency_s = 0.001
        self.group_sizes: list[int] = []

    async def read_row(self, table: str, key: str) -> Row | None:
        """Return the row or None."""
        await self._wait()
        row = self.store.read_row(table, key)
        return None if row is None else Row(**row)

    async def commit(self, writes: Sequence[RowWrite]) -> tuple[int, ...]:
        """Commit all writes or none."""
        await self._wait()
        self.group_sizes.append(len(writes))
        conflicts = self.store.commit([table_store.RowWrite(**asdict(write)) for write in writes])
        if self.lose_replies:
            self.lose_replies -= 1
            raise StoreUnavailableError('the reply was lost')
        if conflicts:
            raise RowConflictError(
                {(row['table'], row['key']): row['version'] for row in conflicts}
            )
        return tuple(self.store.read_stored_version(row.table, row.key) for row in writes)

    async def _wait(self) -> None:
        await trio.sleep(self.latency_s)
        if self.down:
            raise StoreUnavailableError('down')
