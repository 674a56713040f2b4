"""Forecasts the load of a pool while the demand for it rises."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Two windows of so many looks are compared; shorter ones hold too few jobs to tell a rise from chance.
WINDOW_LOOKS = 4
# A demand that exceeds its mean over the last looks by this factor has begun to rise for a time.
SURGE_RATIO = 2
# Looks over which that mean is taken: 6 s with one every 0.2 s.
MEMORY_LOOKS = 30


@dataclass(frozen=True, slots=True)
class Look:
    """The work of each job that came since the look before, in seconds for which it fills a VM."""

    at_s: float
    work_vm_s: tuple[float, ...]


class DemandTrend:
    """Follows the work that is handed in for one pool; times on one steady clock.

    By Little's law, the load in VMs is the work in VM-seconds that arrives in a second.
    """

    def __init__(self) -> None:
        """Start without any demand."""
        self._looks: deque[Look] = deque(maxlen=MEMORY_LOOKS + WINDOW_LOOKS + 1)

    def add_sample(self, at_s: float, work_vm_s: Iterable[float]) -> None:
        """Take in the work that came since the last look, which may be none."""
        self._looks.append(Look(at_s, tuple(work_vm_s)))

    def forecast_vms(self, lead_s: float) -> float:
        """Return the load to expect a time after the last look, 0 unless the demand rises.

        Level and rise count less one standard deviation, as a single large job is no trend.
        """
        looks = list(self._looks)
        if len(looks) <= 2 * WINDOW_LOOKS:
            return 0
        before, recent = looks[:-WINDOW_LOOKS], looks[-WINDOW_LOOKS - 1 :]
        recent_vms = _measure_rate(recent)
        if recent_vms <= SURGE_RATIO * _measure_rate(before):
            return 0
        earlier = before[-WINDOW_LOOKS - 1 :]
        window_s = (looks[-1].at_s - earlier[0].at_s) / 2
        deviation_vms = math.hypot(*_list_work(earlier), *_list_work(recent)) / window_s
        rise_vms = max(0, recent_vms - _measure_rate(earlier) - deviation_vms)
        sure_vms = recent_vms - math.hypot(*_list_work(recent)) / window_s
        return sure_vms + rise_vms / window_s * (lead_s + window_s / 2)


def _measure_rate(looks: Sequence[Look]) -> float:
    """Return the work that came in a second after the first of the looks."""
    return sum(_list_work(looks)) / (looks[-1].at_s - looks[0].at_s)


def _list_work(looks: Sequence[Look]) -> list[float]:
    return [work_vm_s for look in looks[1:] for work_vm_s in look.work_vm_s]
