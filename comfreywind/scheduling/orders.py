"""Orders that the holder gives to targets."""

from dataclasses import dataclass

from comfreywind.jobs.task_key import TaskKey


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run."""

    target_id: str
    key: TaskKey
    run_id: int
    spec: str
    checkpoint: str
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run."""

    target_id: str
    key: TaskKey
    run_id: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a run work at a share of its pace."""

    target_id: str
    key: TaskKey
    run_id: int
    percent: int


Order = StartOrder | StopOrder | PaceOrder
