"""The rows that control work is decided from, as the change feed delivers them."""

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
class SeenRow:
    """A row, the feed sequence of the read that brought it and the monotonic time of that."""

    row: Row
    sequence: int
    seen_s: float


class ControlView:
    """All rows of the control tables at one sequence of the feed.

    Since one read of the feed covers all tables, the rows together are a consistent snapshot. VMs
    are parsed once for each change and kept by pool, because a pool is decided on every second.
    """

    def __init__(self, clock: Clock) -> None:
        """Start empty, at sequence 0."""
        self._clock = clock
        self._rows: dict[str, dict[str, SeenRow]] = {table: {} for table in CONTROL_TABLES}
        self._vms: dict[str, PoolVm] = {}
        self._pools: dict[str, dict[str, PoolVm]] = defaultdict(dict)
        self._listed: dict[str, tuple[PoolVm, ...]] = {}
        self.sequence = 0

    def apply_changes(self, changes: Changes) -> None:
        """Take the rows of one read of the feed."""
        now_s = self._clock.read_monotonic_s()
        for row in changes.rows:
            if row.table in CONTROL_TABLES:
                self._rows[row.table][row.key] = SeenRow(row, changes.sequence, now_s)
            if row.table == TABLE_VMS:
                self._apply_vm(row)
        self.sequence = changes.sequence

    def find(self, table: str, key: str) -> SeenRow | None:
        """Return the row, which has the value None when it was deleted, or None."""
        return self._rows[table].get(key)

    def read_version(self, table: str, key: str) -> int:
        """Return the version of the row, 0 for a missing one."""
        seen = self._rows[table].get(key)
        return 0 if seen is None or seen.row.value is None else seen.row.version

    def read_fields(self, table: str, key: str) -> dict[str, Any]:
        """Return the value of the row, empty for a missing one."""
        seen = self._rows[table].get(key)
        if seen is None or seen.row.value is None:
            return {}
        return seen.row.value

    def list_rows(self, table: str) -> Iterator[SeenRow]:
        """Return the rows of the table that are not deleted."""
        for seen in self._rows[table].values():
            if seen.row.value is not None:
                yield seen

    def list_pool(self, pool: str) -> tuple[PoolVm, ...]:
        """Return the VMs of the pool; it is the same object until one of them changes."""
        if pool not in self._listed:
            self._listed[pool] = tuple(self._pools[pool].values())
        return self._listed[pool]

    def list_pools(self) -> set[str]:
        """Return the pools that have VMs."""
        return {pool for pool, vms in self._pools.items() if vms}

    def list_lent(self, pool: str) -> list[PoolVm]:
        """Return the VMs of a spare pool that are in other pools."""
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
            self._listed.pop(known.pool, None)
        if row.value is not None:
            vm = parse_vm_row(row)
            self._vms[row.key] = vm
            self._pools[vm.pool][row.key] = vm
            self._listed.pop(vm.pool, None)
