"""The settings that decide the size of pools."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """How large pools are for their load, and how fast they grow and shrink.

    `target_fill` is the ratio of a pool that its load should fill; the rest absorbs a burst, which
    grows faster than VMs move. `spare_vms` are kept beyond that, because a failure or maintenance
    may take a VM at any time. A pool keeps at least the ratio `base_part` of an even share of all
    VMs, and at least `smallest_pool` VMs, so that the first jobs of a burst start while more VMs
    are on their way.
    A pool gives VMs up only after it has had a surplus for `shrink_after_s`. `arrival_limit` bounds
    the VMs that move into a pool at the same time; a limit of 6 delayed the first starts of a burst
    by up to 10 s on deployments of 180 VMs.

    While the demand rises significantly, the pool grows to the load that is forecast for the time
    when VMs ordered now take work, at most to `growth_limit` times the present load.

    While a holder knows of no short job, and for `first_demand_s` after it has seen the first one,
    nothing tells how large a pool has to be: pools give up no VMs, for at most `initial_hold_s`
    after the takeover.
    """

    target_fill: float = 0.7
    spare_vms: int = 1
    smallest_pool: int = 2
    base_part: float = 0.2
    shrink_after_s: float = 1.5
    arrival_limit: int = 200
    growth_limit: float = 3
    initial_hold_s: float = 30
    first_demand_s: float = 1
