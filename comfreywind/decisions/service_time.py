"""Estimates of run times, waiting times and whether a request can meet its deadline."""

import math
from dataclasses import dataclass

# Gains of the smoothed mean and deviation, as in RFC 6298, section 2.
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
# With fewer samples, no request is refused because of the estimate.
MIN_TRUSTED_SAMPLES = 8
# An estimated wait is a mean, so about half of the waits are longer. A request that starts too late
# to meet its deadline wastes a slot, while one that is refused early loses little.
WAIT_MARGIN = 1.2


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Smoothed mean and mean deviation of run times, from `samples` runs."""

    mean_s: float = 0
    deviation_s: float = 0
    samples: int = 0

    @property
    def trusted(self) -> bool:
        """Return whether there are enough samples to refuse requests by the estimate."""
        return self.samples >= MIN_TRUSTED_SAMPLES


def add_sample(service: ServiceTime, run_s: float) -> ServiceTime:
    """Return the estimate updated with one more measured run."""
    if service.samples == 0:
        return ServiceTime(run_s, run_s / 2, 1)
    error_s = run_s - service.mean_s
    return ServiceTime(
        mean_s=service.mean_s + MEAN_GAIN * error_s,
        deviation_s=service.deviation_s + DEVIATION_GAIN * (abs(error_s) - service.deviation_s),
        samples=service.samples + 1,
    )


def estimate_wait_s(service: ServiceTime, waiting_ahead: int, slots: float) -> float:
    """Return the expected wait behind `waiting_ahead` requests for `slots` slots, 0 if unknown."""
    if waiting_ahead <= 0 or not service.trusted:
        return 0
    return service.mean_s * waiting_ahead / slots if slots > 0 else math.inf


def is_expected_to_meet_deadline(service: ServiceTime, wait_s: float, left_s: float) -> bool:
    """Return whether a request that starts after `wait_s` is expected to end within `left_s`."""
    if not service.trusted:
        return wait_s <= left_s
    return wait_s * WAIT_MARGIN + service.mean_s + service.deviation_s <= left_s


def could_meet_deadline(service: ServiceTime, left_s: float) -> bool:
    """Return whether a request that starts now can end within `left_s` if its run is a short one.

    This weaker condition is for a request with no other waiting behind it: if it were refused, the
    slot would stay idle.
    """
    if not service.trusted:
        return left_s > 0
    return service.mean_s - 2 * service.deviation_s <= left_s
