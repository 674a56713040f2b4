"""The availability budget of a pool."""

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
    """The figures of a pool's budget, in VMs.

    `tolerated` is the number of available VMs in the largest single failure domain whose loss the
    pool must survive. `margin` is how many more VMs may become unavailable; it is negative when
    the pool has less than it requires.
    """

    size: int
    required: int
    available: int
    stopping: int
    tolerated: int

    @property
    def margin(self) -> int:
        """Return the number of VMs that may be stopped without breaking the budget."""
        return self.available - self.tolerated - self.required


def count_required(size: int, policy: PoolPolicy) -> int:
    """Return how many VMs of a pool of this size must be available.

    A spare pool may always stop one VM, because a spare pool of one could not be maintained.
    """
    required = math.ceil(size * policy.minimum_available_ratio - ROUNDING_SLACK)
    return min(required, max(0, size - 1)) if policy.spare else required


def find_domain(vm: PoolVm, policy: PoolPolicy) -> str:
    """Return the failure domain in which a wave stops VMs together.

    It is the data centre for a pool that tolerates the loss of one, else the rack.
    """
    if policy.tolerate == 'data-centre':
        return vm.data_centre
    return f'{vm.data_centre}/{vm.rack}'


def compute_budget(vms: Collection[PoolVm], failing: Collection[str], policy: PoolPolicy) -> Budget:
    """Return the budget of a pool with these VMs, of which some are observed to fail.

    Borrowed VMs add to what is available but not to what is required, so that a pool with
    a failed VM and its replacement requires as much as before the failure.
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
    domains = Counter(find_domain(vm, policy) for vm in available)
    return max(domains.values(), default=0)
