"""Load that one team causes in one pool at one entry."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """Numbers of requests; `running` and `waiting` include the urgent ones.

    `ready` counts the waiting requests that need only a slot to start, `urgent_ready` the urgent
    ones among them that are within the team's entitlement.
    """

    running: int = 0
    waiting: int = 0
    ready: int = 0
    urgent_running: int = 0
    urgent_ready: int = 0

    @property
    def demand(self) -> int:
        """Return the number of slots that the team could use now."""
        return self.running + self.waiting

    def to_counts(self) -> tuple[int, ...]:
        """Return the numbers in the order of the fields.

        `dataclasses.astuple` deep-copies each number, which took a fifth of the time that dividing
        the slots of a pool takes.
        """
        return self.running, self.waiting, self.ready, self.urgent_running, self.urgent_ready
