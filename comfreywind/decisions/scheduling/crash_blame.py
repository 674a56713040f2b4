"""Decides which tasks are blamed for the crash of a target, and which of them are given up."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from comfreywind.jobs.task_key import TaskKey

# A task that crashes targets does so soon after its start. A run that went on for longer is
# innocent, as are the earlier crashes near its task.
BLAME_WINDOW_S = 5.0
# A task under which this many targets have crashed may be given up. It is if no other task can have
# caused the last of these crashes.
CRASH_LIMIT = 2
# After this many crashes a task is given up although others may have caused them. The users count
# it as a fault if a task is started three times more after three crashes.
UNCERTAIN_CRASH_LIMIT = 4


class StartEvidence(enum.IntEnum):
    """What shows that a run has started on its target; a higher value is stronger."""

    # No reply, or the connection broke: the order may have reached a target that was crashing anyway.
    NONE = 0
    # The target has replied that the run was started, or has listed it in a report.
    ACKNOWLEDGED = 1
    # A report has shown progress of the run, or that it went on for BLAME_WINDOW_S.
    PROGRESS = 2


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended with its target.

    `age_s` is for how long it was seen to run until the target was last heard of, negative if it
    was started later. `crash_count` is the number of crashes that the task was blamed for before.
    """

    key: TaskKey
    evidence: StartEvidence
    age_s: float
    crash_count: int


@dataclass(frozen=True, slots=True)
class CrashVerdict:
    """What a crash means for one of the tasks that ran on the target.

    `suspect` marks a task that should run apart from other suspects, so that a further crash tells
    which of them is at fault.
    """

    key: TaskKey
    crash_count: int
    suspect: bool
    given_up: bool


def is_explained(runs: Sequence[LostRun]) -> bool:
    """Return whether a run that was lost may have caused the crash, as it had just started."""
    return any(
        run.evidence is not StartEvidence.PROGRESS or run.age_s < BLAME_WINDOW_S for run in runs
    )


def judge_crash(runs: Sequence[LostRun], has_other_cause: bool = False) -> list[CrashVerdict]:
    """Return a verdict on each task whose run was lost.

    Runs without progress are suspects, and blamed if they had certainly started. Without a suspect,
    all runs that started lately are blamed. While targets also crash for another reason, a run that is
    the only suspect may be there by chance, so that its task is given up later.
    """
    suspects = [run for run in runs if run.evidence is not StartEvidence.PROGRESS]
    if suspects:
        is_only_suspect = len(suspects) == 1 and not has_other_cause
        blamed = {run.key for run in suspects if run.evidence is StartEvidence.ACKNOWLEDGED}
    else:
        is_only_suspect = False
        blamed = {run.key for run in runs if run.age_s < BLAME_WINDOW_S}
    return [_judge_run(run, run.key in blamed, is_only_suspect) for run in runs]


def _judge_run(run: LostRun, blamed: bool, is_only_suspect: bool) -> CrashVerdict:
    suspect = run.evidence is not StartEvidence.PROGRESS
    if not blamed:
        crash_count = run.crash_count if suspect or run.age_s < BLAME_WINDOW_S else 0
        return CrashVerdict(run.key, crash_count, suspect, given_up=False)
    crash_count = run.crash_count + 1
    limit = CRASH_LIMIT if suspect and is_only_suspect else UNCERTAIN_CRASH_LIMIT
    return CrashVerdict(run.key, crash_count, suspect, given_up=crash_count >= limit)
