"""Clocks as an interface, so that tests and the model decide the time."""

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Source of wall time and of time that never runs backwards."""

    def read_utc(self) -> datetime:
        """Return the wall time in UTC."""

    def read_monotonic_s(self) -> float:
        """Return seconds on a clock that never runs backwards."""


class SystemClock:
    """The clocks of the operating system."""

    def read_utc(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    def read_monotonic_s(self) -> float:
        """Return seconds of CLOCK_BOOTTIME, which also runs while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
