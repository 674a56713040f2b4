"""The holder's in-memory record of a run of a task."""

import enum
from dataclasses import dataclass

from comfreywind.decisions.scheduling.crash_blame import StartEvidence
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.task_key import TaskKey

# Each report of a target carries the progress of its tasks. A short task without progress for this
# time counts as stalled.
STALL_TIMEOUT_S = 1.0
FULL_PERCENT = 100


class RunState(enum.StrEnum):
    """State of a run; its resources are reserved in all of them."""

    STARTING = 'starting'
    UNCONFIRMED = 'unconfirmed'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclass(slots=True)
class RunRecord:
    """A run of a task on a target, with times on the holder's steady clock.

    `reserved` is what the run takes of the target's capacity, `request` what counts towards the
    ceiling of the team. `last_answer_s` is when the last order about the run was answered: a report
    that was requested later lists the run if it exists. `ending` marks a run that an order of this
    holder is about to end. `at_work` is set while a task has reported 100 % and is not ending.
    `level` is the tail latency that the task reports, in milliseconds. `last_progress_s` is when
    `progress_percent`, how much of the task is done, last increased, or 0 before the first report.
    `evidence` is what shows that the run has started, `shown_s` when a reply or a report first showed
    it, or None before, and `confirmed_ms` the start of the incarnation that has shown it, or 0.
    `suspect` marks the run of a task that may crash its target: nothing else is started there until
    reports have shown progress of the run, or that it goes on.
    `image` names what the task runs, or is empty if that is unknown, and `comparable_ms` is the
    estimate of the run time if a longer one would show that others slow the task down, or 0.
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
    metric_value: float = 0
    pace_percent: int = 100
    progress_percent: int = 0
    last_progress_s: float = 0
    tail_latency_limit_ms: int = 0
    best_effort: bool = False
    long_running: bool = False
    evidence: StartEvidence = StartEvidence.NONE
    shown_s: float | None = None
    confirmed_ms: int = 0
    suspect: bool = False
    image: str = ''
    comparable_ms: int = 0

    @property
    def shows_progress(self) -> bool:
        """Return whether a report has shown progress of the run, or that it has gone on long enough."""
        return self.evidence is StartEvidence.PROGRESS

    @property
    def may_be_unanswered(self) -> bool:
        """Return whether the start order may have been sent, and nothing shows what became of it."""
        unanswered = self.state in {RunState.STARTING, RunState.STOPPING}
        return unanswered and self.evidence is StartEvidence.NONE

    @property
    def begun_s(self) -> float:
        """Return since when the run is known to run, or when it was ordered while it is not."""
        return self.started_s if self.shown_s is None else self.shown_s

    def note_shown(self, now_s: float) -> None:
        """Record that a reply or a report has shown the run."""
        if self.shown_s is None:
            self.shown_s = now_s

    def compute_observed_s(self, now_s: float) -> float:
        """Return for how long the run was seen to run; it may have started long after its order."""
        return 0 if self.shown_s is None else now_s - self.shown_s

    def add_evidence(self, evidence: StartEvidence) -> None:
        """Keep the strongest evidence that the run has started."""
        self.evidence = max(self.evidence, evidence)

    def is_stalled(self, now_s: float) -> bool:
        """Return whether a short task that has reported progress before is stalled now."""
        short = not self.long_running and not self.best_effort
        working = self.state is RunState.RUNNING and self.last_progress_s > 0
        unfinished = self.progress_percent < FULL_PERCENT
        return short and working and unfinished and now_s - self.last_progress_s >= STALL_TIMEOUT_S
