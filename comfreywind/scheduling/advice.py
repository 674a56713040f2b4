"""Tickets of the advice service, without which the tasks of some steps may not start."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Advice:
    """The answers of the advice service for one step.

    `asked` are the targets that it was asked about, and `tickets` maps those that it approved to
    their tickets. Approval never changes, but tickets expire at `valid_until_s` on the holder's
    monotonic clock.
    """

    asked: set[str] = field(default_factory=set)
    tickets: dict[str, str] = field(default_factory=dict)
    valid_until_s: float = 0


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request for the targets that may run the tasks of a step."""

    job_id: str
    occurrence: int
    step: int
    target_ids: tuple[str, ...]

    @property
    def step_id(self) -> str:
        """Return the name by which the advice service knows the step."""
        return f'{self.job_id}.{self.occurrence}.{self.step}'
