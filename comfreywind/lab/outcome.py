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

    def find_worst_windows(self, count: int = 2) -> float:
        """Return the part earned in the windows of arrivals that were served worst."""
        parts = sorted(earned / owed for owed, earned in self.earned_by_window.values() if owed)
        worst = parts[:count]
        return sum(worst) / len(worst) if worst else 0
