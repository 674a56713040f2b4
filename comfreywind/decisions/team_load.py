"""Load of one team in one pool at one entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """Numbers of requests; the urgent ones are counted in `running` and `waiting` too.

    `urgent_ready` counts the waiting urgent requests that lack nothing but a slot.
    """

    running: int = 0
    waiting: int = 0
    urgent_running: int = 0
    urgent_ready: int = 0

    @property
    def demand(self) -> int:
        """Return what the team could use now."""
        return self.running + self.waiting
