"""What a target's reply to a start order tells."""

from dataclasses import dataclass

from comfreywind.jobs.start_answer import StartAnswer


@dataclass(frozen=True, slots=True)
class StartReply:
    """The answer to a start order, and what the reply tells of the incarnation that has sent it.

    `clock_ms` is the time on the target's own monotonic clock, or None without a reply that tells it.
    `incarnation_start_ms` is 0 when the reply doesn't name its incarnation.
    """

    answer: StartAnswer
    clock_ms: int | None = None
    incarnation_start_ms: int = 0

    @property
    def tells_incarnation(self) -> bool:
        """Return whether the reply shows anything of the incarnation that has sent it."""
        return self.clock_ms is not None or self.incarnation_start_ms > 0
