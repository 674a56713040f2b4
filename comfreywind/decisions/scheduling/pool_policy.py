"""The settings by which pools are sized."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """How large pools are for their load, and how fast they grow and shrink.

    `target_fill` is the part of a pool that its load should fill, because a burst grows faster than
    VMs move. `spare_vms` are kept beyond the load, as one is soon lost to a failure or an upkeep.
    A pool keeps `base_part` of an even share of all VMs, and at least `smallest_pool`, so that the
    first jobs of a burst start while others are on their way.
    A pool gives a VM up only after it has had too many for `shrink_after_s`. `arrival_limit` bounds
    the VMs that move into a pool at the same time; 6 of them delayed the first starts of a burst by
    up to ten seconds on deployments of 180 VMs.

    A rise of the load that follows a quiet time is taken for the next turn of a demand that comes
    and goes: within `surge_memory_s` of an earlier one the pool grows to that one's peak at once.

    While the demand surely rises, the pool grows to the load that is forecast for the time when VMs
    ordered now take work, at most to `growth_limit` times the present load.

    `base_part`, `shrink_after_s` and `surge_memory_s` earned the most, less the price of VM time, in
    `comfreywind lab` on turns-small and turns-grown.
    """

    target_fill: float = 0.7
    spare_vms: int = 1
    smallest_pool: int = 2
    base_part: float = 0.2
    shrink_after_s: float = 1.5
    arrival_limit: int = 200
    surge_memory_s: float = 60
    growth_limit: float = 3
