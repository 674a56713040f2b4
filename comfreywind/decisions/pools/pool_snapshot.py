"""The inputs of a decision about a pool."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from comfreywind.decisions.pools.pool_policy import PoolPolicy
from comfreywind.decisions.pools.pool_vm import PoolVm
from comfreywind.decisions.pools.vm_health import VmHealth


@dataclass(frozen=True, slots=True)
class SpareRequest:
    """The number of VMs that `pool` wants from this spare pool.

    `given` is the number that it already has, including those on their way.
    """

    pool: str
    wanted: int
    given: int


@dataclass(frozen=True, slots=True)
class PoolSnapshot:
    """A pool at one sequence of the change feed, with the observations of the deciding entry.

    `drained` are the names of the draining VMs that run no work and get none. `free_spares` is, for
    each spare pool, the number of its VMs that are active or on their way to this pool. `requests`
    are the requests of other pools for VMs of this pool, if it is a spare pool.
    """

    name: str
    now_s: float
    policy: PoolPolicy
    vms: tuple[PoolVm, ...]
    health: Mapping[str, VmHealth] = field(default_factory=dict)
    drained: frozenset[str] = frozenset()
    free_spares: Mapping[str, int] = field(default_factory=dict)
    requests: tuple[SpareRequest, ...] = ()

    def list_failing(self) -> frozenset[str]:
        """Return the names of the VMs that are observed to fail, whatever their rows say."""
        return frozenset(
            vm.name for vm in self.vms if vm.name in self.health and not self.health[vm.name].works
        )
