"""How many VMs each pool should have now, and which empty ones move."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from comfreywind.decisions.scheduling.pool_policy import PoolPolicy

DEFAULT_POLICY = PoolPolicy()


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool in VMs (work that runs or waits), its VMs and those on their way to it.

    `idle_vms` are those without any run. `surplus_for_s` is for how long it has had too many.
    `expected_vms` is the load that a surge under way will reach by what is known of earlier ones.
    `even_share_vms` is what the pool would have if all VMs were dealt evenly, and `vms_for_long_running`
    how many empty VMs its lasting tasks wait for.
    """

    pool: str
    standby: bool
    load_vms: float
    usable: int
    arriving: int
    idle_vms: tuple[str, ...]
    surplus_for_s: float = 0
    expected_vms: float = 0
    even_share_vms: float = 0
    vms_for_long_running: int = 0


@dataclass(frozen=True, slots=True)
class VmMove:
    """Move an idle VM into another pool."""

    vm: str
    pool: str


def find_wanted(load: PoolLoad, policy: PoolPolicy = DEFAULT_POLICY) -> int:
    """Return how many VMs the pool should have for its load."""
    filled = max(load.load_vms, load.expected_vms) / policy.target_fill
    base = math.ceil(policy.base_part * load.even_share_vms)
    sized = max(policy.smallest_pool, base, math.ceil(filled) + policy.spare_vms)
    return (
        max(sized, load.usable) + load.vms_for_long_running if load.vms_for_long_running else sized
    )


def compute_surplus_vms(load: PoolLoad, policy: PoolPolicy = DEFAULT_POLICY) -> int:
    """Return how many VMs the pool could give up, negative when it lacks some."""
    return load.usable + load.arriving - find_wanted(load, policy)


def _sort_by_need(loads: Iterable[PoolLoad], surplus_by_pool: dict[str, int]) -> list[PoolLoad]:
    return sorted(loads, key=lambda load: surplus_by_pool[load.pool])


def choose_moves(loads: Collection[PoolLoad], policy: PoolPolicy = DEFAULT_POLICY) -> list[VmMove]:
    """Return the moves: into pools that lack VMs, then out of pools that have had too many.

    Pools that lack VMs get them from standby first, then from pools with a surplus.
    """
    surplus_by_pool = {load.pool: compute_surplus_vms(load, policy) for load in loads}
    working = [load for load in loads if not load.standby]
    standby = [load for load in loads if load.standby]
    offered = [vm for load in standby for vm in load.idle_vms]
    given_up = {load.pool: load.idle_vms[: max(0, surplus_by_pool[load.pool])] for load in working}
    surplus = [vm for vms in given_up.values() for vm in vms]
    moves: list[VmMove] = []
    for load in _sort_by_need(working, surplus_by_pool):
        lacking = min(-surplus_by_pool[load.pool], policy.arrival_limit - load.arriving)
        for _ in range(max(0, lacking)):
            source = offered or surplus
            if not source:
                return moves
            moves.append(VmMove(source.pop(0), load.pool))
    if not standby:
        return moves
    moved = {move.vm for move in moves}
    for load in working:
        if load.surplus_for_s >= policy.shrink_after_s:
            moves.extend(
                VmMove(vm, standby[0].pool) for vm in given_up[load.pool] if vm not in moved
            )
    return moves
