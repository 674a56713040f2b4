"""A step of a job."""

from dataclasses import dataclass

from comfreywind.jobs.resources import Resources


@dataclass(frozen=True, slots=True)
class Step:
    """`task_count` equal tasks that may start once all steps in `after` are done.

    `estimate_ms` is the caller's rough estimate of one task. `lasting` tasks run until the job is
    cancelled. `filler` tasks use processor time that others leave; their processor request is not
    counted against a target. `unavailable_limit` is how many tasks of a lasting step may be away
    because of the system's actions, or None without a limit.
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
