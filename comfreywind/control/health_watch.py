"""Tracks which VMs work, from the VM list and the probes."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from comfreywind.clock import Clock
from comfreywind.decisions.pools.vm_health import VmHealth
from comfreywind.platform.vm_entry import VmEntry


@dataclass(frozen=True, slots=True)
class _Observation:
    works: bool
    listed: bool
    incarnation: int
    since_s: float


class HealthWatch:
    """Combines the VM list and this entry's probes, and records since when each VM works or fails.

    The VM list lags, so probes take precedence: a VM that does not accept connections does not
    work, whatever its state on the list. That state is ignored if the list shows an older
    incarnation than the VM's row.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without observations."""
        self._clock = clock
        self._observations: dict[str, _Observation] = {}
        self._failing: set[str] = set()

    def observe(
        self,
        incarnations: Mapping[str, int],
        listed: Mapping[str, VmEntry],
        accepting: Collection[str],
    ) -> None:
        """Update all observations.

        `incarnations` maps the VMs to observe to the incarnations in their rows, `listed` is the VM
        list, and `accepting` names the VMs that accepted a connection when last probed.
        """
        now_s = self._clock.read_monotonic_s()
        for name, incarnation in incarnations.items():
            vm = listed.get(name)
            works = name in accepting and vm is not None and _is_treated_as_live(vm, incarnation)
            known = self._observations.get(name)
            since_s = known.since_s if known is not None and known.works == works else now_s
            listed_incarnation = 0 if vm is None else vm.incarnation
            self._observations[name] = _Observation(
                works, vm is not None, listed_incarnation, since_s
            )
        for name in set(self._observations) - set(incarnations):
            self._observations.pop(name)
        self._failing = {
            name for name, observation in self._observations.items() if not observation.works
        }

    def list_failing(self) -> frozenset[str]:
        """Return the VMs that do not work."""
        return frozenset(self._failing)

    def read(self, names: Collection[str]) -> dict[str, VmHealth]:
        """Return the health of the VMs that have been observed."""
        now_s = self._clock.read_monotonic_s()
        observed = [(name, self._observations.get(name)) for name in names]
        return {
            name: VmHealth(
                observation.works,
                now_s - observation.since_s,
                observation.listed,
                observation.incarnation,
            )
            for name, observation in observed
            if observation is not None
        }


def _is_treated_as_live(vm: VmEntry, incarnation: int) -> bool:
    return vm.state == 'live' or vm.incarnation < incarnation
