"""A clock that reads trio's time, so that trio's autojump clock controls it in tests."""

from datetime import UTC, datetime, timedelta

import trio


class TrioClock:
    """Derives both times from trio's current time."""

    def read_utc(self) -> datetime:
        """Return a wall-clock time that advances with the monotonic time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=trio.current_time())

    def read_monotonic_s(self) -> float:
        """Return trio's current time in seconds."""
        return trio.current_time()
