"""A job as it is handed in."""

from dataclasses import dataclass

from comfreywind.jobs.job import Job


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job, when it comes, how long the tasks of each step really take, and what it is worth."""

    time_s: float
    job: Job
    durations_s: tuple[tuple[float, ...], ...]
    worth: float

    @property
    def chain_s(self) -> float:
        """Return the longest chain of work, with the longest task of each step."""
        return sum(max(step) for step in self.durations_s)

    @property
    def objective_s(self) -> float:
        """Return the latency objective by what the tasks really take."""
        queue = self.job.queue
        return queue.stretch_factor * self.chain_s + queue.latency_objective_ms / 1000
