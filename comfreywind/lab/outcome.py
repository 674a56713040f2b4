"""What a run of the lab measured."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Outcome:
    """Worth owed and earned, and what was used; times in seconds.

    `earned_by_window` holds, for each two seconds of arrivals, the worth owed and earned.
    """

    owed: float = 0
    earned: float = 0
    on_time: int = 0
    late: int = 0
    unfinished: int = 0
    vm_seconds: float = 0
    moves: int = 0
    busy_s: float = 0
    earned_by_window: dict[int, list[float]] = field(default_factory=dict)
    earned_by_queue: dict[str, list[float]] = field(default_factory=dict)

    @property
    def served(self) -> float:
        """Return the part of the worth that was earned."""
        return self.earned / self.owed if self.owed else 0

    @property
    def worst_windows(self) -> float:
        """Return the part earned in the two windows of arrivals that were served worst."""
        parts = sorted(_divide(sums) for sums in self.earned_by_window.values())
        return sum(parts[:2]) / len(parts[:2]) if parts else 0

    @property
    def worst_queue(self) -> float:
        """Return the part earned by the queue that was served worst."""
        return min(map(_divide, self.earned_by_queue.values()), default=0)


def _divide(sums: list[float]) -> float:
    owed, earned = sums
    return earned / owed if owed else 1
