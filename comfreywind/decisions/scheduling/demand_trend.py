"""Forecasts the load of a pool while the demand for it rises."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Two windows of this many samples are compared. Shorter windows hold too few jobs to tell a rise
# of the demand from chance.
WINDOW_SAMPLES = 4
# The demand counts as rising when its rate in the recent window exceeds the baseline, which is the
# mean rate of all earlier samples, by this factor.
RISE_RATIO = 2
# Samples of the baseline: 6 s at one sample every 0.2 s.
BASELINE_SAMPLES = 30


@dataclass(frozen=True, slots=True)
class DemandSample:
    """The jobs that arrived since the previous sample, one figure for each job.

    The work of a job is the time in seconds for which it would fill one VM.
    """

    at_s: float
    work_vm_s: tuple[float, ...]


class DemandTrend:
    """Follows the work that arrives for one pool; all times are on one monotonic clock.

    By Little's law, the load in VMs is the work in VM-seconds that arrives per second.
    """

    def __init__(self) -> None:
        """Start without any samples."""
        self._samples: deque[DemandSample] = deque(maxlen=BASELINE_SAMPLES + WINDOW_SAMPLES + 1)

    def add_sample(self, at_s: float, work_vm_s: Iterable[float]) -> None:
        """Add the work of the jobs that arrived since the previous sample, which may be none."""
        self._samples.append(DemandSample(at_s, tuple(work_vm_s)))

    def forecast_vms(self, lead_s: float) -> float:
        """Return the load to expect `lead_s` after the last sample, or 0 unless the demand rises.

        One standard deviation is subtracted from both the level and its rise, because a single
        large job is no trend.
        """
        samples = list(self._samples)
        if len(samples) <= 2 * WINDOW_SAMPLES:
            return 0
        baseline, recent = samples[:-WINDOW_SAMPLES], samples[-WINDOW_SAMPLES - 1 :]
        recent_vms = _compute_rate(recent)
        if recent_vms <= RISE_RATIO * _compute_rate(baseline):
            return 0
        earlier = baseline[-WINDOW_SAMPLES - 1 :]
        window_s = (samples[-1].at_s - earlier[0].at_s) / 2
        deviation_vms = math.hypot(*_list_work(earlier), *_list_work(recent)) / window_s
        rise_vms = max(0, recent_vms - _compute_rate(earlier) - deviation_vms)
        level_vms = recent_vms - math.hypot(*_list_work(recent)) / window_s
        # The level applies to the middle of the recent window.
        return level_vms + rise_vms / window_s * (lead_s + window_s / 2)


def _compute_rate(samples: Sequence[DemandSample]) -> float:
    """Return the work per second that arrived between the first and the last of the samples."""
    return sum(_list_work(samples)) / (samples[-1].at_s - samples[0].at_s)


def _list_work(samples: Sequence[DemandSample]) -> list[float]:
    """Return the work of each job that arrived after the first of the samples."""
    return [work_vm_s for sample in samples[1:] for work_vm_s in sample.work_vm_s]
