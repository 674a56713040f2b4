"""Rounds the entries' shares of a pool to whole slots."""

import math
from collections.abc import Mapping

# The fractional parts of its multiples cover the interval from 0 to 1 evenly, for any number of
# steps.
GOLDEN_RATIO = 0.618033988749895
ROTATION_STEP_S = 1.0
TOLERANCE = 1e-6


def round_to_slots(quotas: Mapping[str, float], offset: float) -> dict[str, int]:
    """Round the quotas to whole slots, keeping their sum.

    `offset`, from 0 up to but not including 1, decides which entries are rounded up. Over all
    offsets, the mean of an entry's slots is its quota.
    """
    slots: dict[str, int] = {}
    sum_so_far = offset
    for name in sorted(quotas):
        before = math.floor(sum_so_far + TOLERANCE)
        sum_so_far += quotas[name]
        slots[name] = math.floor(sum_so_far + TOLERANCE) - before
    return slots


def compute_rounding_offset(utc_s: float) -> float:
    """Return the rounding offset of this second, which is the same at every entry.

    It changes every ROTATION_STEP_S, so that the entries take turns to be rounded up. If the clocks
    of entries differ, their slots may for a moment exceed the pool, and targets refuse the surplus.
    """
    return math.fmod(math.floor(utc_s / ROTATION_STEP_S) * GOLDEN_RATIO, 1)
