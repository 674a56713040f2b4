"""Measured run times and what follows from them for waiting requests."""

import math
from dataclasses import dataclass

# Gains of RFC 6298 section 2 for the mean and the deviation.
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
# Below this many runs nothing is refused because of the estimate.
TRUSTED_SAMPLES = 8
# Waits are estimated from a mean, so half of them are longer. A request that starts too late to end
# in time uses a slot for nothing, while one refused early loses little.
WAIT_MARGIN = 1.2


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Smoothed mean and mean deviation of run times in seconds."""

    mean_s: float = 0
    deviation_s: float = 0
    samples: int = 0

    @property
    def trusted(self) -> bool:
        """Return whether enough runs were measured."""
        return self.samples >= TRUSTED_SAMPLES


def add_sample(service: ServiceTime, run_s: float) -> ServiceTime:
    """Return the estimate after one more run."""
    if service.samples == 0:
        return ServiceTime(run_s, run_s / 2, 1)
    error_s = run_s - service.mean_s
    return ServiceTime(
        mean_s=service.mean_s + MEAN_GAIN * error_s,
        deviation_s=service.deviation_s + DEVIATION_GAIN * (abs(error_s) - service.deviation_s),
        samples=service.samples + 1,
    )


def estimate_wait_s(service: ServiceTime, waiting_ahead: int, slots: float) -> float:
    """Return the expected wait behind others that share `slots` slots, 0 when unknown."""
    if waiting_ahead <= 0 or not service.trusted:
        return 0
    return service.mean_s * waiting_ahead / slots if slots > 0 else math.inf


def can_meet_deadline(service: ServiceTime, wait_s: float, left_s: float) -> bool:
    """Return whether a request that starts in `wait_s` is expected to end within `left_s`."""
    if not service.trusted:
        return wait_s <= left_s
    return wait_s * WAIT_MARGIN + service.mean_s + service.deviation_s <= left_s


def may_meet_deadline(service: ServiceTime, left_s: float) -> bool:
    """Return whether a request that starts now ends within `left_s` if its run is a short one.

    This is for a request that no other waits behind: the slot would stay idle instead.
    """
    if not service.trusted:
        return left_s > 0
    return service.mean_s - 2 * service.deviation_s <= left_s
