"""The platform's services in memory, called without sockets, with failures from a seed."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import replace

from comfreywind.errors import RowConflictError, StoreUnavailableError, VmReplacedError
from comfreywind.platform.changes import Changes
from comfreywind.platform.row import Row
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.stand_ins import table_store


class FakePlatform:
    """Stands for TableClient and VmListClient of all entries of a test."""

    def __init__(self, vms: Iterable[VmEntry], chance: random.Random, fault_ratio: float) -> None:
        """Start with empty tables; calls fail with the ratio, writes also after their effect."""
        self.store = table_store.TableStore()
        self.vms = {vm.name: vm for vm in vms}
        self.early_reboots: list[str] = []
        self._chance = chance
        self._fault_ratio = fault_ratio

    def read_now(self, after_sequence: int, tables: Iterable[str]) -> Changes:
        """Return the changes without failures."""
        rows = self.store.read_changes(after_sequence, set(tables))
        return Changes(self.store.sequence, tuple(Row(**row) for row in rows))

    async def commit(self, writes: Sequence[RowWrite]) -> tuple[int, ...]:
        """Commit all writes or none; the reply may be lost."""
        self._maybe_fail()
        conflicts = self.store.commit(
            [
                table_store.RowWrite(write.table, write.key, write.expected_version, write.value)
                for write in writes
            ]
        )
        self._maybe_fail()
        if conflicts:
            raise RowConflictError({(row['table'], row['key']): 0 for row in conflicts})
        return tuple(self.store.read_stored_version(write.table, write.key) for write in writes)

    async def reboot(self, name: str, incarnation: int) -> None:
        """Reboot the VM if it has the incarnation; note when its row did not say so."""
        self._maybe_fail()
        vm = self.vms[name]
        if vm.incarnation != incarnation:
            raise VmReplacedError(name)
        row = self.store.read_row('vms', name)
        if row is None or row['value']['state'] != 'rebooting':
            self.early_reboots.append(name)
        self.vms[name] = replace(vm, incarnation=incarnation + 1)
        self._maybe_fail()

    def _maybe_fail(self) -> None:
        if self._chance.random() < self._fault_ratio:
            raise StoreUnavailableError('the reply was lost')
