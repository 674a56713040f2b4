"""What a target reports of the runs that it has."""

import enum
from dataclasses import dataclass

from comfreywind.jobs.task_key import TaskKey


class RunOutcome(enum.StrEnum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run under way.

    `progress_percent` is 100 when a lasting task serves at its full pace. `level` is the tail of the
    response times in milliseconds for a task that serves, else the millicores in use.
    """

    key: TaskKey
    run_id: int
    checkpoint: str
    progress_percent: int
    metric_value: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """An end; `number` counts the ends of one life of the target from 1."""

    number: int
    key: TaskKey
    run_id: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class TargetReport:
    """The runs of a target; `clock_ms` is the target's own steady clock."""

    clock_ms: int
    incarnation_start_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
