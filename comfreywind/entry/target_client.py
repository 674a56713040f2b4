"""Connection pools of all targets."""

from comfreywind.clock import Clock
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.target_connections import KEEP_ALIVE_S, TargetConnections
from comfreywind.platform.vm_entry import VmEntry


class TargetClient:
    """Keeps one connection pool per target; a new incarnation or address gets a new pool."""

    def __init__(self, fleet_view: FleetView, clock: Clock, connect_timeout_s: float) -> None:
        """Start without connections."""
        self._fleet_view = fleet_view
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._targets: dict[str, TargetConnections] = {}

    def get_connections(self, target: VmEntry) -> TargetConnections:
        """Return the connection pool of the target; create it on first use."""
        known = self._targets.get(target.name)
        if known is not None and _has_same_incarnation(known.target, target):
            return known
        if known is not None:
            known.retire_all()
        connections = TargetConnections(target, self._connect_timeout_s, self._clock)
        self._targets[target.name] = connections
        return connections

    def close_unused(self) -> None:
        """Close connections idle for longer than `KEEP_ALIVE_S` and those to removed VMs."""
        listed = {vm.name for vm in self._fleet_view.list_vms()}
        for name in list(self._targets):
            if name in listed:
                self._targets[name].close_idle(KEEP_ALIVE_S)
            else:
                self._targets.pop(name).retire_all()


def _has_same_incarnation(first: VmEntry, second: VmEntry) -> bool:
    return first.address == second.address and first.incarnation == second.incarnation
