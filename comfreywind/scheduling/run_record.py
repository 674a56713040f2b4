"""A run of a task as the holder knows it."""

import enum
from dataclasses import dataclass

from comfreywind.jobs.resources import Resources
from comfreywind.jobs.task_key import TaskKey

# Progress shows in each report; without any for this time a task stands still.
STALL_S = 1.0
FULL_PERCENT = 100


class RunState(enum.StrEnum):
    """State of a run; it takes room in all of them."""

    STARTING = 'starting'
    UNCONFIRMED = 'unconfirmed'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclass(slots=True)
class RunRecord:
    """A run on a target.

    `last_answer_s` is when the last order about the run was answered: a report that was asked for later
    shows the run if it is there. `ending` marks a run that an order of ours is about to end. `last_progress_s` is when `percent`, the part of the
    task that is done, last rose.
    """

    key: TaskKey
    run_id: int
    target_id: str
    team: str
    reserved: Resources
    request: Resources
    state: RunState
    last_answer_s: float
    started_s: float
    stop_confirmed: bool = False
    checkpoint: str = ''
    at_work: bool = False
    ending: bool = False
    level: float = 0
    pace_percent: int = 100
    percent: int = 0
    last_progress_s: float = 0
    tail_limit_ms: int = 0
    filler: bool = False
    lasting: bool = False

    def is_stalled(self, now_s: float) -> bool:
        """Return whether a short task that has worked stands still."""
        short = not self.lasting and not self.filler
        working = self.state is RunState.RUNNING and self.last_progress_s > 0
        unfinished = self.percent < FULL_PERCENT
        return short and working and unfinished and now_s - self.last_progress_s >= STALL_S
