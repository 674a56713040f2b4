"""How many VMs each pool should have now, and which empty ones move."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

# A pool is sized so that its load fills this part of it: a burst grows faster than VMs move.
TARGET_FILL = 0.7
# VMs kept beyond the load of a pool; one is soon lost to a failure or an upkeep.
SPARE_VMS = 1
SMALLEST_POOL = 2
# A pool gives a VM up only after it has had too many for this time.
SHRINK_AFTER_S = 2.5
# Most VMs that move into a pool at the same time.
ARRIVAL_LIMIT = 6


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Load of a pool in VMs (work that runs or waits), its VMs and those on their way to it.

    `idle_vms` are those without any run. `surplus_for_s` is for how long it has had too many.
    """

    pool: str
    standby: bool
    load_vms: float
    usable: int
    arriving: int
    idle_vms: tuple[str, ...]
    surplus_for_s: float = 0


@dataclass(frozen=True, slots=True)
class VmMove:
    """Move an idle VM into another pool."""

    vm: str
    pool: str


def find_wanted(load: PoolLoad) -> int:
    """Return how many VMs the pool should have for its load."""
    return max(SMALLEST_POOL, math.ceil(load.load_vms / TARGET_FILL) + SPARE_VMS)


def find_surplus(load: PoolLoad) -> int:
    """Return how many VMs the pool could give up, negative when it lacks some."""
    return load.usable + load.arriving - find_wanted(load)


def choose_moves(loads: Iterable[PoolLoad]) -> list[VmMove]:
    """Return the moves: into pools that lack VMs, then out of pools that have had too many.

    Pools that lack VMs get them from standby first, then from pools with a surplus.
    """
    working = [load for load in loads if not load.standby]
    standby = [load for load in loads if load.standby]
    offered = [vm for load in standby for vm in load.idle_vms]
    surplus = [vm for load in working for vm in load.idle_vms[: max(0, find_surplus(load))]]
    moves: list[VmMove] = []
    for load in sorted(working, key=find_surplus):
        lacking = min(-find_surplus(load), ARRIVAL_LIMIT - load.arriving)
        for _ in range(max(0, lacking)):
            source = offered or surplus
            if not source:
                return moves
            moves.append(VmMove(source.pop(0), load.pool))
    if not standby:
        return moves
    moved = {move.vm for move in moves}
    for load in working:
        if load.surplus_for_s >= SHRINK_AFTER_S:
            given_up = load.idle_vms[: max(0, find_surplus(load))]
            moves.extend(VmMove(vm, standby[0].pool) for vm in given_up if vm not in moved)
    return moves
