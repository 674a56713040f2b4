"""Rounds the entries' parts of a pool to whole slots."""

import math
from collections.abc import Mapping

# Multiples of the golden ratio cover the unit interval evenly, whatever the number of steps.
GOLDEN_RATIO = 0.618033988749895
STEP_S = 1.0
TOLERANCE = 1e-6


def round_to_slots(quotas: Mapping[str, float], offset: float) -> dict[str, int]:
    """Return whole numbers that sum up like the quotas; `offset` in [0, 1) decides who gains.

    Over all offsets the mean of each number is its quota.
    """
    slots: dict[str, int] = {}
    sum_so_far = offset
    for name in sorted(quotas):
        before = math.floor(sum_so_far + TOLERANCE)
        sum_so_far += quotas[name]
        slots[name] = math.floor(sum_so_far + TOLERANCE) - before
    return slots


def make_offset(utc_s: float) -> float:
    """Return the offset of this second, the same at every entry, so that the gain goes round.

    Clocks that differ only make some targets refuse a request near the change.
    """
    return math.fmod(math.floor(utc_s / STEP_S) * GOLDEN_RATIO, 1)
