"""Chooses the pace of best-effort tasks that run beside tasks that serve users."""

# Ratios of a tail latency to its limit: best-effort tasks are slowed down at once above the first
# and sped up below the second. The tail latency is a rough estimate from the last half second, so
# the margin between them is wide.
SLOW_DOWN_ABOVE_RATIO = 0.85
SPEED_UP_BELOW_RATIO = 0.6
SPEED_UP_PERCENT = 20
FULL_PERCENT = 100
STOPPED_PERCENT = 0


def choose_pace(percent: int, worst_tail_ratio: float) -> int:
    """Return the next pace of the best-effort tasks of a target, in percent of their full pace.

    `worst_tail_ratio` is the highest ratio of a tail latency to its limit among the tasks beside
    them. A tail latency over its limit stops the best-effort tasks. Near the limit their pace is
    halved, because the effect of a smaller change is not known.
    """
    if worst_tail_ratio >= 1:
        return STOPPED_PERCENT
    if worst_tail_ratio > SLOW_DOWN_ABOVE_RATIO:
        return percent // 2
    if worst_tail_ratio < SPEED_UP_BELOW_RATIO:
        return min(FULL_PERCENT, percent + SPEED_UP_PERCENT)
    return percent
