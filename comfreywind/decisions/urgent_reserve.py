"""Decides how many slots of a pool are kept free for urgent work."""

import math

URGENT_START_S = 1.3
# Part of the limit that a slot may take to become free; the rest is for reports and refusals.
TURNOVER_PART = 0.5
# With this many slots expected to become free in time, none does in 0.03% of cases (Poisson).
SAFE_RELEASES = 8
HIGHEST_RESERVE_RATIO = 0.125


def count_reserved_slots(slots: int, mean_run_s: float, urgent_running: int) -> int:
    """Return the slots to keep free so that urgent work starts within `URGENT_START_S`.

    None are kept while running work ends often enough; running urgent work uses up the reserve.
    """
    if slots <= 0 or mean_run_s <= 0:
        return 0
    releases = slots / mean_run_s * URGENT_START_S * TURNOVER_PART
    if releases >= SAFE_RELEASES:
        return 0
    missing = math.ceil(SAFE_RELEASES - releases)
    highest = max(1, int(slots * HIGHEST_RESERVE_RATIO))
    return max(0, min(missing, highest) - urgent_running)
