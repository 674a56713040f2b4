"""A queue to which callers submit jobs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Queue:
    """Address under which callers submit jobs, the pool that runs them, and how they are scheduled.

    Priority 0 is scheduled first. The objective for the duration of a job, from acceptance to
    completion, is `stretch_factor` times its critical path plus `latency_objective_ms`. When
    `advice_validity_ms` is not 0, the advice service is asked which targets may run a step.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    attempt_limit: int = 1
    stretch_factor: float = 1.0
    latency_objective_ms: int = 0
    open_to_all: bool = False
    timeout_ms: int = 0
    advice_validity_ms: int = 0
    advice_decision_ms: int = 0
    advice_per_target_ms: int = 0
