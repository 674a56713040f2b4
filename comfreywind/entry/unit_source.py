"""Where the dispatcher gets the units of a team's ceiling from."""

from typing import Protocol


class UnitSource(Protocol):
    """Units of the fleet-wide ceilings that this entry may use now."""

    def try_take(self, team: str) -> bool:
        """Take one unit of the team's ceiling if this entry holds a free one."""

    def give_back(self, team: str) -> None:
        """Return a unit whose request has ended at its target."""

    def report_waiting(self, team: str, waiting_count: int) -> None:
        """Tell how many requests of the team wait here for a unit."""

    def read_session_left_s(self) -> float:
        """Return for how many seconds this entry may still start work."""
