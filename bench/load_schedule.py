"""When an open-loop load sends its requests."""

import random
from collections.abc import Iterator

from bench.load_plan import BurstShape, LoadStream


def compute_low_s(burst: BurstShape) -> float:
    """Return the time between bursts in seconds for which the mean rate is kept."""
    low_factor = burst.peak_factor * burst.low_ratio
    return burst.burst_s * (burst.peak_factor - 1) / (1 - low_factor)


def make_send_times(stream: LoadStream, end_s: float, generator: random.Random) -> Iterator[float]:
    """Return the intended send times of a Poisson process in seconds from the start."""
    now_s: float = 0
    while True:
        now_s = _find_next(stream, now_s, generator.expovariate(1))
        if now_s >= end_s:
            return
        yield now_s


def find_rate(stream: LoadStream, at_s: float) -> tuple[float, float]:
    """Return the rate in hertz at a time and the time in seconds at which it changes next."""
    burst = stream.burst
    if burst is None:
        return stream.rate_hz, float('inf')
    period_s = burst.burst_s + compute_low_s(burst)
    phase_s = (at_s - burst.offset_s) % period_s
    if phase_s < burst.burst_s:
        return stream.rate_hz * burst.peak_factor, at_s + burst.burst_s - phase_s
    low_hz = stream.rate_hz * burst.peak_factor * burst.low_ratio
    return low_hz, at_s + period_s - phase_s


def _find_next(stream: LoadStream, now_s: float, expected_requests: float) -> float:
    while True:
        rate_hz, change_s = find_rate(stream, now_s)
        if expected_requests <= rate_hz * (change_s - now_s):
            return now_s + expected_requests / rate_hz
        expected_requests -= rate_hz * (change_s - now_s)
        # Rounding must not leave the time just before the change for ever.
        now_s = change_s + 1e-9
