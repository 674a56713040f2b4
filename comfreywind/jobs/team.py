"""A team as the rules in force know it."""

from dataclasses import dataclass

from comfreywind.jobs.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class Team:
    """Weight, which is the share when all is full, and ceiling; 0 in a ceiling means no limit."""

    name: str
    weight: float = 1.0
    ceiling: Resources = NO_RESOURCES
