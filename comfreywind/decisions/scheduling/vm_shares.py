"""Divides the VMs among pools that together want more than there are.

The load it answers: several queues burst at the same time, or one bursts while the pool of another
still has its size. A forecast and headroom may be three times the present load, so a pool that is
served first by what it wants would take VMs from pools whose jobs wait already.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VmNeed:
    """What a pool needs VMs for, in VMs; each figure includes those before it.

    `base` is its least size, `present` what its present work fills, `expected` what the work that is
    forecast fills, and `wanted` its size with headroom.
    """

    base: int
    present: int
    expected: int
    wanted: int

    def list_tiers(self) -> tuple[int, ...]:
        """Return the figures in the order in which they are met."""
        return (self.base, self.present, self.expected, self.wanted)


def divide_vms(needs: Mapping[str, VmNeed], total: int) -> dict[str, int]:
    """Return the size that each pool should have.

    Each tier of all pools is met before the next one of any pool. A tier that can't be met is met by
    the same ratio for all pools. Fractions are rounded down, the most important tiers are whole.
    """
    sizes: dict[str, float] = dict.fromkeys(needs, 0)
    left = float(total)
    for tiers in zip(*(need.list_tiers() for need in needs.values()), strict=True):
        missing = {
            pool: max(0, tier - sizes[pool]) for pool, tier in zip(needs, tiers, strict=True)
        }
        ratio = min(1, left / (sum(missing.values()) or 1))
        for pool, vms in missing.items():
            sizes[pool] += vms * ratio
        left -= sum(missing.values()) * ratio
    return {pool: math.floor(size) for pool, size in sizes.items()}
