"""Decides how many slots of a pool are kept free for urgent work."""

import math

MAX_URGENT_WAIT_S = 1.3
# Fraction of MAX_URGENT_WAIT_S in which a slot must become free; the rest is for reports and
# refusals.
TURNOVER_RATIO = 0.5
# If this many slots are expected to become free in that time, the probability that none does is
# 0.03% (Poisson).
SAFE_RELEASES = 8
MAX_RESERVE_RATIO = 0.125
# A burst starts many runs at the same time, which then also end at the same time. In between, no
# slot becomes free, whatever the mean run time.
MIN_RESERVED_SLOTS = 2


def count_reserved_slots(slots: int, mean_run_s: float) -> int:
    """Return how many slots to keep free so that urgent work starts within MAX_URGENT_WAIT_S.

    No slots are kept if runs are so short that slots become free in time anyway. A mean of 0 means
    that run times are unknown; they are then assumed to be long. Running urgent work does not lower
    the result, so that slots that become free are kept for the next urgent request.
    """
    if slots <= 0:
        return 0
    turnover_s = MAX_URGENT_WAIT_S * TURNOVER_RATIO
    if 0 < mean_run_s <= turnover_s:
        return 0
    releases = slots * turnover_s / mean_run_s if mean_run_s > 0 else 0
    wanted = max(MIN_RESERVED_SLOTS, math.ceil(SAFE_RELEASES - releases))
    return min(wanted, max(1, int(slots * MAX_RESERVE_RATIO)))
