"""The VMs that this entry knows of and the pool each one belongs to."""

from collections.abc import Iterable

from comfreywind.platform.row import Row
from comfreywind.platform.vm_entry import VmEntry

STATE_ACTIVE = 'active'
STATE_SUSPECT = 'suspect'
STATE_UNKNOWN = 'unknown'


class FleetView:
    """Joins the platform's VM list with the rows of the table `vms`.

    The row decides the pool. With `requires_row`, a VM without a row takes no work, because two
    entries could read different pools from the list while it changes; else such a VM belongs to
    the pool on the list.
    """

    def __init__(self, requires_row: bool = False) -> None:
        """Start without any VM."""
        self._requires_row = requires_row
        self._listed: dict[str, VmEntry] = {}
        self._rows: dict[str, Row] = {}
        self._usable: dict[str, list[VmEntry]] = {}

    def apply_vm_list(self, vms: Iterable[VmEntry]) -> None:
        """Take a newer list from the platform."""
        self._listed = {vm.name: vm for vm in vms}
        self._usable.clear()

    def apply_vm_row(self, row: Row) -> None:
        """Take a newer row of the table `vms`."""
        self._usable.clear()
        if row.value is None:
            self._rows.pop(row.key, None)
            return
        self._rows[row.key] = row

    def list_vms(self) -> list[VmEntry]:
        """Return all VMs on the platform's list."""
        return list(self._listed.values())

    def read_row(self, name: str) -> Row | None:
        """Return the VM's row in the table `vms`, if it has one."""
        return self._rows.get(name)

    def find_pool(self, vm: VmEntry) -> str:
        """Return the pool that the VM belongs to."""
        row = self._rows.get(vm.name)
        return vm.pool if row is None or row.value is None else str(row.value['pool'])

    def list_usable(self, pool: str) -> list[VmEntry]:
        """Return the VMs of the pool that take new work.

        These are the active ones. When more VMs are suspect than active, the suspect ones that are
        still listed as live are used too, because then the observations of the entry that holds
        the control lease are more likely wrong than most of the pool (as the panic threshold of
        outlier ejection).
        """
        if pool not in self._usable:
            self._usable[pool] = self._find_usable(pool)
        return self._usable[pool]

    def _find_usable(self, pool: str) -> list[VmEntry]:
        live = [vm for vm in self._list_live() if self.find_pool(vm) == pool]
        active = [vm for vm in live if self._read_state(vm) == STATE_ACTIVE]
        suspect = [vm for vm in live if self._read_state(vm) == STATE_SUSPECT]
        return active + suspect if len(suspect) > len(active) else active

    def _list_live(self) -> list[VmEntry]:
        return [vm for vm in self._listed.values() if vm.state == 'live']

    def _read_state(self, vm: VmEntry) -> str:
        row = self._rows.get(vm.name)
        if row is not None and row.value is not None:
            return str(row.value['state'])
        return STATE_UNKNOWN if self._requires_row else STATE_ACTIVE
