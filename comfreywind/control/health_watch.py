"""Observes which VMs work."""

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
    """Joins the VM list with the probes of this entry and notes since when each VM works or fails.

    The list lags, so the probe counts more: a VM that does not accept connections does not work
    whatever the list says, and an entry of the list that is older than the VM's row is ignored.
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
        """Take one round: VMs with the incarnations in their rows, the list and the probes."""
        now_s = self._clock.read_monotonic_s()
        for name, incarnation in incarnations.items():
            vm = listed.get(name)
            works = name in accepting and vm is not None and _counts_as_live(vm, incarnation)
            known = self._observations.get(name)
            since_s = known.since_s if known is not None and known.works == works else now_s
            listed_incarnation = 0 if vm is None else vm.incarnation
            self._observations[name] = _Observation(
                works, vm is not None, listed_incarnation, since_s
            )
        for name in set(self._observations) - set(incarnations):
            self._observations.pop(name)
        self._failing = {name for name, seen in self._observations.items() if not seen.works}

    def list_failing(self) -> frozenset[str]:
        """Return the VMs that do not work."""
        return frozenset(self._failing)

    def read(self, names: Collection[str]) -> dict[str, VmHealth]:
        """Return the health of the VMs that have been observed."""
        now_s = self._clock.read_monotonic_s()
        observed = [(name, self._observations.get(name)) for name in names]
        return {
            name: VmHealth(seen.works, now_s - seen.since_s, seen.listed, seen.incarnation)
            for name, seen in observed
            if seen is not None
        }


def _counts_as_live(vm: VmEntry, incarnation: int) -> bool:
    return vm.state == 'live' or vm.incarnation < incarnation
