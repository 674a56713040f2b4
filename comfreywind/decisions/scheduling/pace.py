"""At which pace filler tasks work beside tasks that serve users."""

# Above this part of its limit a tail is cut back at once, below the other part fillers may speed up.
# The tail is a rough figure of the last half second, so the margin is wide.
CUT_ABOVE = 0.85
RAISE_BELOW = 0.6
RAISE_PERCENT = 20
FULL_PERCENT = 100
LOWEST_PERCENT = 0


def choose_pace(percent: int, worst_tail_ratio: float) -> int:
    """Return the next pace of the fillers of a target, in percent of their full pace.

    `worst_tail_ratio` is the highest tail beside them as a part of its limit. A tail over its limit
    stops the fillers; near the limit they are halved, because the effect of a step is not known.
    """
    if worst_tail_ratio >= 1:
        return LOWEST_PERCENT
    if worst_tail_ratio > CUT_ABOVE:
        return percent // 2
    if worst_tail_ratio < RAISE_BELOW:
        return min(FULL_PERCENT, percent + RAISE_PERCENT)
    return percent
