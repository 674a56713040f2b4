"""A clock that tests advance explicitly."""

from datetime import UTC, datetime, timedelta


class ManualClock:
    """Starts at a fixed time and moves only through `advance`."""

    def __init__(self) -> None:
        """Start at 1,000 monotonic seconds."""
        self._monotonic_s = 1000.0

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._monotonic_s += seconds

    def read_utc(self) -> datetime:
        """Return a wall-clock time that advances with the monotonic time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self._monotonic_s)

    def read_monotonic_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self._monotonic_s
