"""Decides how many slots of a pool are kept free for urgent work."""

import math

URGENT_START_S = 1.3
# Part of the limit that a slot may take to become free; the rest is for reports and refusals.
TURNOVER_PART = 0.5
# With this many slots expected to become free in time, none does in 0.03% of cases (Poisson).
SAFE_RELEASES = 8
HIGHEST_RESERVE_RATIO = 0.125
# A burst starts many runs at once, which then end at once, so that turnover alone is not enough.
LOWEST_RESERVE = 2


def count_reserved_slots(slots: int, mean_run_s: float) -> int:
    """Return the slots to keep free so that urgent work starts within `URGENT_START_S`.

    None are kept while runs are short against that time. A mean of 0 stands for unknown run times,
    which are taken to be long. The reserve stays the same while urgent work runs, so that slots
    that become free fill it up for the next urgent request.
    """
    if slots <= 0:
        return 0
    turnover_s = URGENT_START_S * TURNOVER_PART
    if 0 < mean_run_s <= turnover_s:
        return 0
    releases = slots * turnover_s / mean_run_s if mean_run_s > 0 else 0
    wanted = max(LOWEST_RESERVE, math.ceil(SAFE_RELEASES - releases))
    return min(wanted, max(1, int(slots * HIGHEST_RESERVE_RATIO)))
