"""A unit source that tests fill and empty."""

from collections import Counter
from collections.abc import Callable


class FreeUnits:
    """Holds any number of units unless a test sets the free ones of a team."""

    def __init__(self) -> None:
        """Start without limits."""
        self.free: dict[str, int] = {}
        self.waiting: Counter[str] = Counter()
        self._wake_team: Callable[[str], None] | None = None

    def try_acquire_unit(self, team: str) -> bool:
        """Take a unit if one is free."""
        if team not in self.free:
            return True
        if self.free[team] <= 0:
            return False
        self.free[team] -= 1
        return True

    def release_unit(self, team: str) -> None:
        """Return a unit."""
        if team in self.free:
            self.free[team] += 1

    def add_units(self, team: str, units: int) -> None:
        """Let units arrive from elsewhere."""
        self.free[team] += units
        if self._wake_team is not None:
            self._wake_team(team)

    def report_waiting(self, team: str, waiting_count: int) -> None:
        """Keep the last report."""
        self.waiting[team] = waiting_count

    def read_session_left_s(self) -> float:
        """Return a valid session."""
        return 4

    def subscribe(self, wake_team: Callable[[str], None]) -> None:
        """Keep the function."""
        self._wake_team = wake_team
