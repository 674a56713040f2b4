"""All that a decision about a pool is made from."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from comfreywind.decisions.pools.pool_policy import PoolPolicy
from comfreywind.decisions.pools.pool_vm import PoolVm
from comfreywind.decisions.pools.vm_health import VmHealth


@dataclass(frozen=True, slots=True)
class SpareRequest:
    """How many VMs of this spare pool another pool wants, and how many it has or is getting."""

    pool: str
    wanted: int
    given: int


@dataclass(frozen=True, slots=True)
class PoolSnapshot:
    """A pool at one sequence of the change feed, with the observations of the deciding entry.

    `drained` names the draining VMs on which no work runs and to which none can be sent;
    `free_spares` gives the number of VMs of each spare pool that are
    active or already on their way to this pool; `requests` are those that
    other pools make of this one, if it is a spare pool.
    """

    name: str
    now_s: float
    policy: PoolPolicy
    vms: tuple[PoolVm, ...]
    health: Mapping[str, VmHealth] = field(default_factory=dict)
    drained: frozenset[str] = frozenset()
    free_spares: Mapping[str, int] = field(default_factory=dict)
    requests: tuple[SpareRequest, ...] = ()

    def find_failing(self) -> frozenset[str]:
        """Return the VMs that are observed not to work, whatever their rows say."""
        return frozenset(
            vm.name for vm in self.vms if vm.name in self.health and not self.health[vm.name].works
        )
