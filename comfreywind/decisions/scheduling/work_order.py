"""In which order the jobs of a pool get room."""

from collections.abc import Callable
from dataclasses import dataclass

from comfreywind.jobs.job import Job
from comfreywind.jobs.step import Step

# A caller gets a part of the worth of a job up to this multiple of its objective.
LATE_FACTOR = 3
DEFAULT_ESTIMATE_MS = 1000
NO_STEPS: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class JobUrgency:
    """What decides the turn of a job; times in milliseconds on one clock.

    `remaining_ms` is the longest chain of work that is left. `excess` marks work that its team
    handed in beyond its weight.
    """

    lasting: bool
    excess: bool
    priority: int
    accepted_ms: float
    objective_ms: float
    remaining_ms: float


SortKeyFunction = Callable[[JobUrgency, float], tuple[float, ...]]


def compute_sort_key(standing: JobUrgency, now_ms: float) -> tuple[float, ...]:
    """Return the sort key of a job: lasting tasks, then jobs that can be on time, then the others.

    Lasting tasks are few and serve users all the time. A job that can no longer meet its objective
    waits behind those that can, because its worth then is a fraction; among late jobs those that
    are done soonest come first.
    """
    if standing.lasting:
        return (0, standing.accepted_ms)
    due_ms = standing.accepted_ms + standing.objective_ms
    on_time = now_ms + standing.remaining_ms <= due_ms
    if on_time:
        return (2 if standing.excess else 1, standing.priority, due_ms)
    latest_ms = standing.accepted_ms + LATE_FACTOR * standing.objective_ms
    hopeless = now_ms + standing.remaining_ms > latest_ms
    return (4 if hopeless else 3, standing.priority, standing.remaining_ms)


def estimate_task_ms(step: Step) -> float:
    """Return the estimate of one task of the step in milliseconds."""
    return step.estimate_ms or DEFAULT_ESTIMATE_MS


def compute_critical_path_ms(
    steps: tuple[Step, ...], done_steps: frozenset[int] = NO_STEPS
) -> float:
    """Return the longest chain of estimates over the steps that are not done."""
    chain_ms: list[float] = []
    for number, step in enumerate(steps):
        own_ms = 0 if number in done_steps else estimate_task_ms(step)
        chain_ms.append(own_ms + max((chain_ms[earlier] for earlier in step.after), default=0))
    return max(chain_ms, default=0)


def compute_objective_ms(job: Job) -> float:
    """Return the latency objective of a job in milliseconds."""
    return (
        job.queue.stretch_factor * compute_critical_path_ms(job.steps)
        + job.queue.latency_objective_ms
    )
