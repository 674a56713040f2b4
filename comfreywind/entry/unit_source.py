"""Interface through which the dispatcher acquires units of the teams' ceilings."""

from collections.abc import Callable
from typing import Protocol

WakeTeam = Callable[[str], None]


class UnitSource(Protocol):
    """Manages the units of the fleet-wide ceilings that this entry may use."""

    def try_acquire_unit(self, team: str) -> bool:
        """Acquire one unit of the team's ceiling if this entry holds a free one.

        Returns False while this entry must not start work. Must not call the subscribed function.
        """

    def release_unit(self, team: str) -> None:
        """Release a unit whose request has ended at its target."""

    def report_waiting(self, team: str, waiting_count: int) -> None:
        """Report how many requests of the team wait at this entry for a unit.

        Called when `try_acquire_unit` has failed, whenever the number changes after that, and with
        0 when the team no longer waits for units.
        """

    def read_session_left_s(self) -> float:
        """Return for how many more seconds this entry may start work."""

    def subscribe(self, wake_team: WakeTeam) -> None:
        """Call the function with a team's name when `try_acquire_unit` may succeed for it again.

        This is the case when units arrive from other entries and, for every team, when this entry
        may start work again. No call is required for units that come from `release_unit`.
        """
