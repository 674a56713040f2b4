"""Decides how many VMs each pool should have, and which idle VMs move."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.decisions.scheduling.vm_shares import VmNeed, divide_vms

DEFAULT_POLICY = PoolPolicy()


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """The load of a pool, its VMs and those on their way to it.

    `load_vms` is the work that runs or waits, in VMs. `usable` counts the VMs that take new work,
    and `arriving` those on their way. `idle_vms` names the VMs without any run. `surplus_for_s` is
    for how long the pool has had more VMs than it wants. `expected_vms` is the load to expect from
    a rising demand. `even_share_vms` is what the pool would have if all VMs
    were divided evenly, and `vms_for_long_running` how many empty VMs its waiting long-running
    tasks need.
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


def compute_wanted_vms(load: PoolLoad, policy: PoolPolicy = DEFAULT_POLICY) -> int:
    """Return how many VMs the pool should have for its load."""
    needed_vms = max(load.load_vms, load.expected_vms) / policy.target_fill
    base_vms = math.ceil(policy.base_part * load.even_share_vms)
    wanted_vms = max(policy.smallest_pool, base_vms, math.ceil(needed_vms) + policy.spare_vms)
    return (
        max(wanted_vms, load.usable) + load.vms_for_long_running
        if load.vms_for_long_running
        else wanted_vms
    )


def compute_surplus_vms(load: PoolLoad, policy: PoolPolicy = DEFAULT_POLICY) -> int:
    """Return how many VMs the pool has beyond those it wants; negative when it lacks some."""
    return load.usable + load.arriving - compute_wanted_vms(load, policy)


def compute_surpluses(
    loads: Collection[PoolLoad], policy: PoolPolicy = DEFAULT_POLICY
) -> dict[str, int]:
    """Return how many VMs each pool has beyond its size; negative when it lacks some.

    A pool has the size that it wants, or a share of all VMs when the pools together want more.
    """
    surpluses = {load.pool: compute_surplus_vms(load, policy) for load in loads}
    working_loads = [load for load in loads if not load.standby]
    available = sum(load.usable + load.arriving for load in working_loads)
    available += sum(len(load.idle_vms) for load in loads if load.standby)
    needs = {load.pool: _describe_need(load, policy) for load in working_loads}
    if sum(need.wanted for need in needs.values()) > available:
        sizes = divide_vms(needs, available)
        surpluses.update(
            {load.pool: load.usable + load.arriving - sizes[load.pool] for load in working_loads}
        )
    return surpluses


def _describe_need(load: PoolLoad, policy: PoolPolicy) -> VmNeed:
    wanted = compute_wanted_vms(load, policy)
    present = math.ceil(load.load_vms) + load.vms_for_long_running
    expected = max(present, math.ceil(load.expected_vms) + load.vms_for_long_running)
    return VmNeed(min(policy.smallest_pool, wanted), present, expected, wanted)


def _sort_by_need(loads: Iterable[PoolLoad], surplus_by_pool: dict[str, int]) -> list[PoolLoad]:
    return sorted(loads, key=lambda load: surplus_by_pool[load.pool])


def choose_moves(loads: Collection[PoolLoad], policy: PoolPolicy = DEFAULT_POLICY) -> list[VmMove]:
    """Return the moves: into pools that lack VMs, then to standby out of pools with a surplus.

    Pools that lack VMs get them from standby first, then from pools with a surplus. VMs move to
    standby only from pools whose surplus has lasted long enough.
    """
    surplus_by_pool = compute_surpluses(loads, policy)
    working_loads = [load for load in loads if not load.standby]
    standby_loads = [load for load in loads if load.standby]
    standby_vms = [vm for load in standby_loads for vm in load.idle_vms]
    surplus_vms_by_pool = {
        load.pool: load.idle_vms[: max(0, surplus_by_pool[load.pool])] for load in working_loads
    }
    surplus_vms = [vm for vms in surplus_vms_by_pool.values() for vm in vms]
    moves: list[VmMove] = []
    for load in _sort_by_need(working_loads, surplus_by_pool):
        lacking = min(-surplus_by_pool[load.pool], policy.arrival_limit - load.arriving)
        for _ in range(max(0, lacking)):
            source = standby_vms or surplus_vms
            if not source:
                return moves
            moves.append(VmMove(source.pop(0), load.pool))
    if not standby_loads:
        return moves
    moved = {move.vm for move in moves}
    for load in working_loads:
        if load.surplus_for_s >= policy.shrink_after_s:
            moves.extend(
                VmMove(vm, standby_loads[0].pool)
                for vm in surplus_vms_by_pool[load.pool]
                if vm not in moved
            )
    return moves
