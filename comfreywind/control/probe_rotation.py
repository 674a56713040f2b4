"""Chooses the VMs to probe in each period, to limit the cost of probes."""

from collections.abc import Mapping, Sequence

from comfreywind.platform.vm_entry import VmEntry

# A probe takes about 0.1 ms of CPU time, so 100 probes in a period of 1 s take about 1% of a core.
# Up to this number, all VMs are probed in every period. VMs that failed their last probe are always
# probed, even if there are more of them.
PROBES_PER_PERIOD = 100


class ProbeRotation:
    """Selects the VMs that failed their last probe in every period, and the others round-robin."""

    def __init__(self, probes_per_period: int = PROBES_PER_PERIOD) -> None:
        """Start without probe results, so that the first period covers all VMs."""
        self._probes_per_period = probes_per_period
        self._accepting: frozenset[str] = frozenset()
        self._next_index = 0

    def choose(self, vms: Mapping[str, VmEntry]) -> list[VmEntry]:
        """Return the VMs to probe now."""
        failing = [vm for name, vm in vms.items() if name not in self._accepting]
        accepting = [vm for name, vm in vms.items() if name in self._accepting]
        remaining_count = max(0, self._probes_per_period - len(failing))
        return [*failing, *self._select_next(accepting, remaining_count)]

    def record(
        self, vms: Mapping[str, VmEntry], probed: Sequence[VmEntry], accepting: frozenset[str]
    ) -> frozenset[str]:
        """Record the probe results; return all VMs that accepted a connection when last probed."""
        not_probed = self._accepting & vms.keys() - {vm.name for vm in probed}
        self._accepting = accepting | not_probed
        return self._accepting

    def _select_next(self, vms: list[VmEntry], count: int) -> list[VmEntry]:
        if len(vms) <= count:
            return vms
        start = self._next_index % len(vms)
        self._next_index = start + count
        return [*vms[start:], *vms[:start]][:count]
