"""Load of one team in one pool at one entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """Numbers of requests; the urgent ones are counted in `running` and `waiting` too.

    `ready` counts the waiting requests that lack nothing but a slot, `urgent_ready` the urgent ones
    among them that are within the team's entitlement.
    """

    running: int = 0
    waiting: int = 0
    ready: int = 0
    urgent_running: int = 0
    urgent_ready: int = 0

    @property
    def demand(self) -> int:
        """Return what the team could use now."""
        return self.running + self.waiting

    def to_counts(self) -> tuple[int, ...]:
        """Return the numbers in the order of the fields.

        `dataclasses.astuple` copies each number, which took a fifth of the time of a plan.
        """
        return self.running, self.waiting, self.ready, self.urgent_running, self.urgent_ready
