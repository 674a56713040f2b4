"""Tests that probes are limited in each period and still reach every VM."""

from comfreywind.control.probe_rotation import ProbeRotation
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.settings.address import Address

VMS = {
    f'vm-{index}': VmEntry(
        f'vm-{index}', Address('127.0.0.1', 1), 'dc-1', 'rack', 'crossings', 'live', 1
    )
    for index in range(25)
}


def test_rotation() -> None:
    """Every VM is probed again within a few periods, a failed one in the next period.

    A wrong start index would leave VMs out; without priority, a failed VM would wait for its turn.
    """
    rotation = ProbeRotation(probes_per_period=10)
    all_names = frozenset(VMS)
    rotation.record(VMS, rotation.choose(VMS), all_names)
    probed_names: set[str] = set()
    for _ in range(3):
        probed = rotation.choose(VMS)
        assert len(probed) == 10
        names = frozenset(vm.name for vm in probed)
        probed_names |= names
        assert rotation.record(VMS, probed, names) == all_names
    assert probed_names == all_names
    probed = rotation.choose(VMS)
    failed = probed[0].name
    accepting = frozenset(vm.name for vm in probed) - {failed}
    assert rotation.record(VMS, probed, accepting) == all_names - {failed}
    assert rotation.choose(VMS)[0].name == failed
