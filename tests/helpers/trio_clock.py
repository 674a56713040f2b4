"""A clock that follows trio's clock, so that an autojump clock moves it."""

from datetime import UTC, datetime, timedelta

import trio


class TrioClock:
    """Reads trio's current time."""

    def read_utc(self) -> datetime:
        """Return a wall time that moves with the monotonic time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=trio.current_time())

    def read_monotonic_s(self) -> float:
        """Return trio's current time in seconds."""
        return trio.current_time()
