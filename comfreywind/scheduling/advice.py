"""Tickets of one step, as the advice service gave them."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Advice:
    """`tickets` maps approved targets to their tickets; `asked` are the targets asked about.

    Approval never changes, but tickets end at `valid_until_s` on the holder's steady clock.
    """

    asked: set[str] = field(default_factory=set)
    tickets: dict[str, str] = field(default_factory=dict)
    valid_until_s: float = 0


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask which of the targets may run the step."""

    job_id: str
    occurrence: int
    step: int
    target_ids: tuple[str, ...]

    @property
    def step_id(self) -> str:
        """Return the name of the step."""
        return f'{self.job_id}.{self.occurrence}.{self.step}'
