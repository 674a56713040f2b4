"""The VMs that this entry knows of and the pool each one belongs to."""

from collections.abc import Callable, Iterable

from comfreywind.decisions.set_digest import exchange_row
from comfreywind.platform.row import Row
from comfreywind.platform.vm_entry import VmEntry

STATE_ACTIVE = 'active'


class FleetView:
    """Joins the platform's VM list with the rows of the table `vms`.

    The row decides the pool; a VM without a row belongs to the pool on the list.
    """

    def __init__(self) -> None:
        """Start without any VM."""
        self._listed: dict[str, VmEntry] = {}
        self._rows: dict[str, Row] = {}
        self.rows_digest = 0
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, receive_change: Callable[[], None]) -> None:
        """Call the function after each change of the list or of a row."""
        self._listeners.append(receive_change)

    def apply_vm_list(self, vms: Iterable[VmEntry]) -> None:
        """Take a newer list from the platform."""
        listed = {vm.name: vm for vm in vms}
        if listed != self._listed:
            self._listed = listed
            self._tell_listeners()

    def apply_vm_row(self, row: Row) -> None:
        """Take a newer row of the table `vms`; an older version never replaces a newer one.

        A deleted row is kept with its version, so that an older state of it is not taken again.
        """
        known = self._rows.get(row.key)
        known_version = known.version if known else 0
        if row.version <= known_version:
            return
        self._rows[row.key] = row
        self.rows_digest = exchange_row(self.rows_digest, row.key, known_version, row.version)
        self._tell_listeners()

    def list_rows(self) -> list[Row]:
        """Return all rows of the table `vms`, those of deleted rows with the value None."""
        return list(self._rows.values())

    def list_vms(self) -> list[VmEntry]:
        """Return all VMs on the platform's list."""
        return list(self._listed.values())

    def read_row(self, name: str) -> Row | None:
        """Return the VM's row in the table `vms`, if it has one."""
        row = self._rows.get(name)
        return None if row is None or row.value is None else row

    def find_pool(self, vm: VmEntry) -> str:
        """Return the pool that the VM belongs to."""
        row = self.read_row(vm.name)
        return vm.pool if row is None or row.value is None else str(row.value['pool'])

    def list_usable(self, pool: str) -> list[VmEntry]:
        """Return the VMs of the pool that take new work."""
        return [
            vm
            for vm in self._listed.values()
            if self.find_pool(vm) == pool and self._takes_work(vm)
        ]

    def group_usable(self) -> dict[str, list[VmEntry]]:
        """Return the VMs that take new work by pool."""
        groups: dict[str, list[VmEntry]] = {}
        for vm in self._listed.values():
            if self._takes_work(vm):
                groups.setdefault(self.find_pool(vm), []).append(vm)
        return groups

    def _tell_listeners(self) -> None:
        for receive_change in self._listeners:
            receive_change()

    def _takes_work(self, vm: VmEntry) -> bool:
        if vm.state != 'live':
            return False
        row = self.read_row(vm.name)
        return row is None or row.value is None or row.value['state'] == STATE_ACTIVE
