"""A queue of jobs."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Queue:
    """Where callers hand in jobs, and the pool whose targets run them.

    Priority 0 comes first. The objective of a job is `stretch_factor` times its longest chain of
    work plus `latency_objective_ms`. Advice is asked for when `advice_validity_ms` is not 0.
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
