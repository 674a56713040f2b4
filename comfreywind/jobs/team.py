"""A team as the rules define it."""

from dataclasses import dataclass

from comfreywind.jobs.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class Team:
    """The weight and the ceiling of a team.

    `weight` sets its relative share while demand exceeds the capacity. `ceiling` limits the
    resources of its running tasks; 0 means no limit on that resource.
    """

    name: str
    weight: float = 1.0
    ceiling: Resources = NO_RESOURCES
