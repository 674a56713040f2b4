"""Decides the order in which the jobs of a pool get free capacity."""

from collections.abc import Callable
from dataclasses import dataclass

from comfreywind.jobs.job import Job
from comfreywind.jobs.step import Step

# A late job still earns a fraction of its worth up to this multiple of its latency objective.
LATE_FACTOR = 3
DEFAULT_ESTIMATE_MS = 1000
NO_STEPS: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class JobUrgency:
    """What decides how urgent a job is; times in milliseconds on one clock.

    `remaining_ms` is the critical path of the work that is left. `excess` marks work beyond the
    share of its team by weight. A lower `priority` goes first.
    """

    long_running: bool
    excess: bool
    priority: int
    accepted_ms: float
    objective_ms: float
    remaining_ms: float


SortKeyFunction = Callable[[JobUrgency, float], tuple[float, ...]]


def compute_sort_key(urgency: JobUrgency, now_ms: float) -> tuple[float, ...]:
    """Return the sort key of a job: long-running, then able to be on time, then late.

    Among jobs of one priority that can be on time, those beyond the share of their team come last.

    Long-running jobs are few and serve users all the time. A job that can no longer meet its
    objective waits behind those that can, because it earns only a fraction of its worth. Among late
    jobs, those that can be done soonest come first.
    """
    if urgency.long_running:
        return (0, urgency.accepted_ms)
    due_ms = urgency.accepted_ms + urgency.objective_ms
    on_time = now_ms + urgency.remaining_ms <= due_ms
    if on_time:
        return (1, urgency.priority, urgency.excess, due_ms)
    latest_ms = urgency.accepted_ms + LATE_FACTOR * urgency.objective_ms
    worthless = now_ms + urgency.remaining_ms > latest_ms
    return (4 if worthless else 3, urgency.priority, urgency.remaining_ms)


def estimate_task_ms(step: Step) -> float:
    """Return the estimate of one task of the step in milliseconds."""
    return step.estimate_ms or DEFAULT_ESTIMATE_MS


def compute_critical_path_ms(
    steps: tuple[Step, ...], done_steps: frozenset[int] = NO_STEPS
) -> float:
    """Return the critical path through the steps that aren't done, by their estimates."""
    path_ms: list[float] = []
    for number, step in enumerate(steps):
        own_ms = 0 if number in done_steps else estimate_task_ms(step)
        path_ms.append(own_ms + max((path_ms[earlier] for earlier in step.after), default=0))
    return max(path_ms, default=0)


def compute_objective_ms(job: Job) -> float:
    """Return the latency objective of a job in milliseconds."""
    return (
        job.queue.stretch_factor * compute_critical_path_ms(job.steps)
        + job.queue.latency_objective_ms
    )
