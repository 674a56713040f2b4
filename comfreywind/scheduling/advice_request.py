"""A question to the advice service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request for the targets that may run the tasks of a step.

    `incarnations` maps the ids of the targets in question to their incarnations. Tickets are valid
    for `validity_s`. Questions with a lower `rank` are sent first.
    """

    job_id: str
    occurrence: int
    step: int
    incarnations: dict[str, int]
    validity_s: float
    rank: int = 0

    @property
    def step_id(self) -> str:
        """Return the name by which the advice service knows the step."""
        return f'{self.job_id}.{self.occurrence}.{self.step}'

    @property
    def target_ids(self) -> tuple[str, ...]:
        """Return the ids of the targets in question."""
        return tuple(self.incarnations)
