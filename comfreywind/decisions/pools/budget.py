"""The availability budget of a pool: how many VMs may be unavailable at the same time."""

import math
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from comfreywind.decisions.pools.pool_policy import PoolPolicy
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState

# Keeps a product such as 0.7 * 10 = 7.000000000000001 from being rounded up to 8.
ROUNDING_SLACK = 1e-9


@dataclass(frozen=True, slots=True)
class Budget:
    """The availability budget of a pool, in numbers of VMs.

    `size` counts the pool's own VMs without borrowed ones, `stopping` the planned stops under way.
    `tolerated` is the number of available VMs in the largest failure domain whose loss the pool
    must survive.
    """

    size: int
    required: int
    available: int
    stopping: int
    tolerated: int

    @property
    def margin(self) -> int:
        """Return how many more VMs may become unavailable; negative if the budget is broken."""
        return self.available - self.tolerated - self.required


def count_required(size: int, policy: PoolPolicy) -> int:
    """Return how many VMs of a pool of this size must be available.

    A spare pool may always stop one VM; otherwise a spare pool of one VM could not be maintained.
    """
    required = math.ceil(size * policy.minimum_available_ratio - ROUNDING_SLACK)
    return min(required, max(0, size - 1)) if policy.spare else required


def get_failure_domain(vm: PoolVm, policy: PoolPolicy) -> str:
    """Return the failure domain of the VM; a wave stops VMs of one failure domain together.

    This is the data centre if the pool tolerates the loss of one, otherwise the rack.
    """
    if policy.tolerate == 'data-centre':
        return vm.data_centre
    return f'{vm.data_centre}/{vm.rack}'


def compute_budget(vms: Collection[PoolVm], failing: Collection[str], policy: PoolPolicy) -> Budget:
    """Return the budget of a pool with these VMs, of which those named in `failing` fail.

    Borrowed VMs count as available but don't raise the required number, so that a pool with a
    failed VM and its replacement requires as many VMs as before the failure.
    """
    own_count = sum(not vm.borrowed for vm in vms)
    available = [vm for vm in vms if vm.state == VmState.ACTIVE and vm.name not in failing]
    return Budget(
        size=own_count,
        required=count_required(own_count, policy),
        available=len(available),
        stopping=sum(vm.stopping for vm in vms),
        tolerated=_count_tolerated(available, policy),
    )


def _count_tolerated(available: Iterable[PoolVm], policy: PoolPolicy) -> int:
    if policy.tolerate == 'none':
        return 0
    domains = Counter(get_failure_domain(vm, policy) for vm in available)
    return max(domains.values(), default=0)
