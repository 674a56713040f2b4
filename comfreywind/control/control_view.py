"""The rows on which control decisions are based, as received from the change feed."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from comfreywind.clock import Clock
from comfreywind.control.vm_row import parse_vm_row
from comfreywind.decisions.pools.pool_vm import PoolVm
from comfreywind.platform.changes import Changes
from comfreywind.platform.row import Row
from comfreywind.platform.table_names import (
    TABLE_BUDGETS,
    TABLE_CONTROL,
    TABLE_MEMBERS,
    TABLE_VMS,
)

CONTROL_TABLES = (TABLE_VMS, TABLE_CONTROL, TABLE_BUDGETS, TABLE_MEMBERS)


@dataclass(frozen=True, slots=True)
class ReceivedRow:
    """A row with the feed sequence and the monotonic time of the read that returned it."""

    row: Row
    sequence: int
    received_s: float


class ControlView:
    """All rows of the control tables at one sequence of the feed.

    Since one read of the feed covers all tables, the rows together are a consistent snapshot. VMs
    are parsed once for each change and grouped by pool, because each pool is read every second.
    """

    def __init__(self, clock: Clock) -> None:
        """Start empty, at sequence 0."""
        self._clock = clock
        self._rows: dict[str, dict[str, ReceivedRow]] = {table: {} for table in CONTROL_TABLES}
        self._vms: dict[str, PoolVm] = {}
        self._pools: dict[str, dict[str, PoolVm]] = defaultdict(dict)
        self._vm_tuples: dict[str, tuple[PoolVm, ...]] = {}
        self.sequence = 0

    def apply_changes(self, changes: Changes) -> None:
        """Apply the rows of one read of the feed."""
        now_s = self._clock.read_monotonic_s()
        for row in changes.rows:
            if row.table in CONTROL_TABLES:
                self._rows[row.table][row.key] = ReceivedRow(row, changes.sequence, now_s)
            if row.table == TABLE_VMS:
                self._apply_vm(row)
        self.sequence = changes.sequence

    def get(self, table: str, key: str) -> ReceivedRow | None:
        """Return the row, or None if it is unknown; a deleted row has the value None."""
        return self._rows[table].get(key)

    def read_version(self, table: str, key: str) -> int:
        """Return the version of the row, 0 if it is missing or deleted."""
        received = self._rows[table].get(key)
        return 0 if received is None or received.row.value is None else received.row.version

    def read_fields(self, table: str, key: str) -> dict[str, Any]:
        """Return the value of the row, empty if it is missing or deleted."""
        received = self._rows[table].get(key)
        if received is None or received.row.value is None:
            return {}
        return received.row.value

    def list_rows(self, table: str) -> Iterator[ReceivedRow]:
        """Yield the rows of the table that are not deleted."""
        for received in self._rows[table].values():
            if received.row.value is not None:
                yield received

    def list_pool(self, pool: str) -> tuple[PoolVm, ...]:
        """Return the VMs of the pool; the result is the same object until one of them changes."""
        if pool not in self._vm_tuples:
            self._vm_tuples[pool] = tuple(self._pools[pool].values())
        return self._vm_tuples[pool]

    def list_pools(self) -> set[str]:
        """Return the pools that have VMs."""
        return {pool for pool, vms in self._pools.items() if vms}

    def list_lent(self, pool: str) -> list[PoolVm]:
        """Return the VMs of this home pool that are in other pools."""
        return [
            vm
            for other, vms in self._pools.items()
            if other != pool
            for vm in vms.values()
            if vm.home_pool == pool
        ]

    def _apply_vm(self, row: Row) -> None:
        known = self._vms.pop(row.key, None)
        if known is not None:
            self._pools[known.pool].pop(row.key)
            self._vm_tuples.pop(known.pool, None)
        if row.value is not None:
            vm = parse_vm_row(row)
            self._vms[row.key] = vm
            self._pools[vm.pool][row.key] = vm
            self._vm_tuples.pop(vm.pool, None)
