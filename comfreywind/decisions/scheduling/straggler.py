"""Which targets are slow or stand still, from the progress of what runs there."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

# A run that has made no progress for this time stands still.
STALL_S = 1.0
# Estimates are off by half; a target whose runs all take this many times as long is slow.
SLOW_FACTOR = 2.6
# Below this part of a task its speed is not known well enough.
LEAST_PROGRESS_PERCENT = 4
# A restart is worth its cost when it should be done in this part of the time that is left.
RESTART_GAIN = 0.6


@dataclass(frozen=True, slots=True)
class RunSpeed:
    """A run of a short task: how far it is, for how long it has worked and stood still."""

    percent: float
    elapsed_s: float
    stalled_s: float
    estimate_s: float


def is_stalled(speed: RunSpeed) -> bool:
    """Return whether the run stands still."""
    return speed.stalled_s >= STALL_S


def find_slowdown(speeds: Iterable[RunSpeed]) -> float | None:
    """Return how many times as long as estimated the runs of a target take, None if not known."""
    factors = [
        speed.elapsed_s * 100 / speed.percent / speed.estimate_s
        for speed in speeds
        if speed.percent >= LEAST_PROGRESS_PERCENT
    ]
    return statistics.median(factors) if factors else None


def is_worth_restart(speed: RunSpeed, slowdown: float) -> bool:
    """Return whether the task would be done sooner elsewhere from its start.

    Its usual time is what it has shown here, without the slowdown of the target.
    """
    if speed.percent < LEAST_PROGRESS_PERCENT:
        return False
    whole_s = speed.elapsed_s * 100 / speed.percent
    left_s = whole_s - speed.elapsed_s
    return whole_s / slowdown < left_s * RESTART_GAIN
