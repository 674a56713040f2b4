"""Where the dispatcher gets the units of a team's ceiling from."""

from collections.abc import Callable
from typing import Protocol

WakeTeam = Callable[[str], None]


class UnitSource(Protocol):
    """Units of the fleet-wide ceilings that this entry may use now."""

    def try_take(self, team: str) -> bool:
        """Take one unit of the team's ceiling if this entry holds a free one.

        Returns False while this entry may start no work. Must not call the subscribed function.
        """

    def give_back(self, team: str) -> None:
        """Return a unit whose request has ended at its target."""

    def report_waiting(self, team: str, waiting_count: int) -> None:
        """Tell how many requests of the team wait here for a unit.

        Called when `try_take` has failed, whenever the number changes after that, and with 0 when
        the team no longer waits for units.
        """

    def read_session_left_s(self) -> float:
        """Return for how many seconds this entry may still start work."""

    def subscribe(self, wake_team: WakeTeam) -> None:
        """Call the function with a team's name when `try_take` may succeed for it again.

        That is when units arrive from elsewhere and, for every team, when this entry may start work
        again. It need not be called for units that come back through `give_back`.
        """
