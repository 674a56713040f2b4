"""The VMs known to this entry, with their pools and states."""

from collections.abc import Callable, Iterable

from comfreywind.decisions.row_digest import update_digest
from comfreywind.platform.row import Row
from comfreywind.platform.vm_entry import VmEntry

STATE_ACTIVE = 'active'
STATE_SUSPECT = 'suspect'
STATE_UNKNOWN = 'unknown'


class FleetView:
    """Joins the platform's VM list with the rows of the table `vms`.

    The row takes precedence for the pool; a VM without a row belongs to the pool on the list. With
    `requires_row`, a VM without a row takes no work, because two entries could read different
    pools from the list while it changes.
    """

    def __init__(self, requires_row: bool = False) -> None:
        """Start without VMs."""
        self._requires_row = requires_row
        self._listed: dict[str, VmEntry] = {}
        self._rows: dict[str, Row] = {}
        self.rows_digest = 0
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, receive_change: Callable[[], None]) -> None:
        """Call `receive_change` after each change of the list or of the rows."""
        self._listeners.append(receive_change)

    def apply_vm_list(self, vms: Iterable[VmEntry]) -> None:
        """Replace the VM list."""
        listed = {vm.name: vm for vm in vms}
        if listed != self._listed:
            self._listed = listed
            self._notify_listeners()

    def apply_vm_rows(self, rows: Iterable[Row]) -> None:
        """Apply rows of the table `vms`; an older version never replaces a newer one.

        A deleted row is kept with its version, so that an older version can't bring it back. The
        listeners are called once for all rows, because the cost of each call is proportional to the
        number of VMs.
        """
        changes = [self._apply_row(row) for row in rows]
        if any(changes):
            self._notify_listeners()

    def list_rows(self) -> list[Row]:
        """Return all rows of the table `vms`; deleted ones have the value None."""
        return list(self._rows.values())

    def list_vms(self) -> list[VmEntry]:
        """Return all VMs on the platform's list."""
        return list(self._listed.values())

    def read_row(self, name: str) -> Row | None:
        """Return the VM's row in the table `vms`, or None if it has none."""
        row = self._rows.get(name)
        return None if row is None or row.value is None else row

    def get_pool(self, vm: VmEntry) -> str:
        """Return the pool that the VM belongs to."""
        row = self.read_row(vm.name)
        return vm.pool if row is None or row.value is None else str(row.value['pool'])

    def list_usable(self, pool: str) -> list[VmEntry]:
        """Return the VMs of the pool that take new work.

        Only active VMs do, unless more VMs are suspect than active: then the suspect VMs that are
        still listed as live are used too, because the observations of the entry that holds the
        control lease are more likely wrong than most of the pool is broken (like the panic
        threshold of outlier ejection).
        """
        return _select_usable(
            [(vm, self._read_state(vm)) for vm in self._list_live() if self.get_pool(vm) == pool]
        )

    def group_usable(self) -> dict[str, list[VmEntry]]:
        """Return the VMs that take new work by pool, selected as in `list_usable`."""
        groups: dict[str, list[tuple[VmEntry, str]]] = {}
        for vm in self._list_live():
            groups.setdefault(self.get_pool(vm), []).append((vm, self._read_state(vm)))
        return {pool: _select_usable(vms) for pool, vms in groups.items()}

    def _apply_row(self, row: Row) -> bool:
        known = self._rows.get(row.key)
        known_version = known.version if known else 0
        if row.version <= known_version:
            return False
        self._rows[row.key] = row
        self.rows_digest = update_digest(self.rows_digest, row.key, known_version, row.version)
        return True

    def _notify_listeners(self) -> None:
        for receive_change in self._listeners:
            receive_change()

    def _list_live(self) -> list[VmEntry]:
        return [vm for vm in self._listed.values() if vm.state == 'live']

    def _read_state(self, vm: VmEntry) -> str:
        row = self.read_row(vm.name)
        if row is not None and row.value is not None:
            return str(row.value['state'])
        return STATE_UNKNOWN if self._requires_row else STATE_ACTIVE


def _select_usable(vms: list[tuple[VmEntry, str]]) -> list[VmEntry]:
    active = [vm for vm, state in vms if state == STATE_ACTIVE]
    suspect = [vm for vm, state in vms if state == STATE_SUSPECT]
    return active + suspect if len(suspect) > len(active) else active
