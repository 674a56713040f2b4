"""Orders that the holder sends to targets."""

from dataclasses import dataclass

from comfreywind.jobs.task_key import TaskKey


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts a run of a task from its last checkpoint, with a ticket if the queue needs one."""

    target_id: str
    key: TaskKey
    run_id: int
    spec: str
    checkpoint: str
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stops a run of a task."""

    target_id: str
    key: TaskKey
    run_id: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Limits a best-effort run to `percent` of its full pace."""

    target_id: str
    key: TaskKey
    run_id: int
    percent: int


Order = StartOrder | StopOrder | PaceOrder
