"""Chooses which VMs to probe in one period, so that the number of probes is bounded."""

from collections.abc import Mapping, Sequence

from comfreywind.platform.vm_entry import VmEntry

# A probe costs about 0.1 ms of processor time, so this bounds them to about 1% of a core when the
# period is a second. Up to this many VMs are all probed in every period.
PROBES_PER_PERIOD = 100


class ProbeRotation:
    """Probes the VMs that failed last time in every period and the others in turn."""

    def __init__(self, probes_per_period: int = PROBES_PER_PERIOD) -> None:
        """Start with nothing known."""
        self._probes_per_period = probes_per_period
        self._accepting: frozenset[str] = frozenset()
        self._position = 0

    def choose(self, vms: Mapping[str, VmEntry]) -> list[VmEntry]:
        """Return the VMs to probe now."""
        failing = [vm for name, vm in vms.items() if name not in self._accepting]
        accepting = [vm for name, vm in vms.items() if name in self._accepting]
        room = max(0, self._probes_per_period - len(failing))
        return [*failing, *self._take_turn(accepting, room)]

    def record(
        self, vms: Mapping[str, VmEntry], probed: Sequence[VmEntry], accepting: frozenset[str]
    ) -> frozenset[str]:
        """Take the results of the probes; return all VMs that accepted when last probed."""
        not_probed = self._accepting & vms.keys() - {vm.name for vm in probed}
        self._accepting = accepting | not_probed
        return self._accepting

    def _take_turn(self, vms: list[VmEntry], count: int) -> list[VmEntry]:
        if len(vms) <= count:
            return vms
        start = self._position % len(vms)
        self._position = start + count
        return [*vms[start:], *vms[:start]][:count]
