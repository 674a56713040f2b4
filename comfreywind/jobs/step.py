"""A step of a job: a number of equal tasks."""

from dataclasses import dataclass

from comfreywind.jobs.resources import Resources


@dataclass(frozen=True, slots=True)
class Step:
    """`task_count` equal tasks that may start once all steps with the numbers in `after` are done.

    `request` is the resources of one task and `estimate_ms` the caller's estimate of its run time.
    `long_running` tasks run until the job is cancelled. `best_effort` tasks use processor time that
    other tasks leave idle, so their processor request does not count against the capacity of a
    target. `target_limit` is how many tasks of the step one target may run. `unavailable_limit` is
    how many tasks of a long-running step may be unavailable at the same time because of actions of
    the scheduler, such as maintenance. In both, 0 means no limit.
    """

    task_count: int
    request: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    preferred_rack: str = ''
    target_limit: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    tail_latency_limit_ms: int = 0
    best_effort: bool = False
    unavailable_limit: int = 0
