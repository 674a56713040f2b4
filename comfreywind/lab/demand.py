"""Demand of one queue in the lab."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """Jobs of a queue by the second, with means of what they are made of.

    The demand comes by turns: in its turn of `turn_s`, the `turn` -th of `turn_count`, the queue
    asks `peak` times its mean, otherwise `rest` times. Durations and sizes spread around their
    means by the given parts of them. `estimate_error` is how far callers' estimates are off.
    """

    queue: str
    jobs_per_s: float
    mean_steps: float
    mean_tasks: float
    task_s: float
    task_millicores: int
    task_memory_mb: int
    worth: float = 1
    priority: int = 0
    turn: int = 0
    turn_count: int = 1
    turn_s: float = 4
    peak: float = 1
    rest: float = 1
    duration_spread: float = 0.5
    count_spread: float = 0.6
    size_spread: float = 0.45
    estimate_error: float = 0.3
    stretch_factor: float = 1.6
    latency_objective_ms: int = 600

    def find_rate(self, time_s: float) -> float:
        """Return the jobs by the second at a time since the start."""
        in_turn = int(time_s // self.turn_s) % self.turn_count == self.turn
        factor = self.peak if in_turn else self.rest
        return self.jobs_per_s * factor
