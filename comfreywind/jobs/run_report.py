"""A target's report of its active and ended runs."""

import enum
from dataclasses import dataclass

from comfreywind.jobs.task_key import TaskKey


class RunOutcome(enum.StrEnum):
    """How a run ended, as its target reports it.

    Only DONE completes a task and only FAILED counts as a failed attempt. STOPPED follows a stop
    order and LAPSED the end of the target's lease.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run in progress.

    `progress_percent` is how much of its work a task has done; a long-running task has 100 once it
    serves at full capacity. `metric_value` is the tail latency in milliseconds for a task that
    serves requests, and the processor time in use, in millicores, for any other.
    """

    key: TaskKey
    run_id: int
    checkpoint: str
    progress_percent: int
    metric_value: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """The end of a run; `number` counts the ended runs of one incarnation of the target from 1."""

    number: int
    key: TaskKey
    run_id: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class TargetReport:
    """All active runs of a target, and the first of its ended runs that are not acknowledged yet.

    `complete` is false if further ended runs may follow: a run that is missing from such a report may
    have ended. `clock_ms` is the time on the target's own monotonic clock, and `incarnation_start_ms` tells the
    incarnations of a target apart: a later incarnation has a higher value.
    """

    clock_ms: int
    incarnation_start_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    complete: bool = True
