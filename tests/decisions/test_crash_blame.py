"""Which tasks are blamed for the crash of a target, and which are given up."""

import pytest

from comfreywind.decisions.scheduling.crash_blame import (
    BLAME_WINDOW_S,
    CRASH_LIMIT,
    UNCERTAIN_CRASH_LIMIT,
    CrashVerdict,
    LostRun,
    StartEvidence,
    is_explained,
    judge_crash,
)
from comfreywind.jobs.task_key import TaskKey

KEYS = tuple(TaskKey('00000000000000a1', 0, 0, number) for number in range(3))
ACKNOWLEDGED, PROGRESS = StartEvidence.ACKNOWLEDGED, StartEvidence.PROGRESS
NOT_BEGUN = StartEvidence.NONE
# The users' rule: a task may not be started three times more after three crashes.
CRASHES_ALLOWED = 3 + 3 - 1


def lost(
    number: int, evidence: StartEvidence = ACKNOWLEDGED, age_s: float = 0.1, count: int = 0
) -> LostRun:
    """Return a run that was lost with its target."""
    return LostRun(KEYS[number], evidence, age_s, count)


def verdict(number: int, count: int, suspect: bool = False, given_up: bool = False) -> CrashVerdict:
    """Return a verdict on the run of that number."""
    return CrashVerdict(KEYS[number], count, suspect, given_up)


@pytest.mark.parametrize(
    ('runs', 'verdicts'),
    [
        ([], []),
        ([lost(0)], [verdict(0, 1, suspect=True)]),
        ([lost(0, count=1)], [verdict(0, 2, suspect=True, given_up=True)]),
        ([lost(0, age_s=-1, count=1)], [verdict(0, 2, suspect=True, given_up=True)]),
        (
            [lost(0, count=1), lost(1)],
            [verdict(0, 2, suspect=True), verdict(1, 1, suspect=True)],
        ),
        (
            [lost(0, count=1), lost(1, PROGRESS, count=1)],
            [verdict(0, 2, suspect=True, given_up=True), verdict(1, 1)],
        ),
        (
            [lost(0, NOT_BEGUN, count=UNCERTAIN_CRASH_LIMIT - 1)],
            [verdict(0, UNCERTAIN_CRASH_LIMIT - 1, suspect=True)],
        ),
        (
            [lost(0, NOT_BEGUN, count=1), lost(1, count=1)],
            [verdict(0, 1, suspect=True), verdict(1, 2, suspect=True)],
        ),
        ([lost(0, PROGRESS), lost(1, PROGRESS, count=1)], [verdict(0, 1), verdict(1, 2)]),
        (
            [lost(0, PROGRESS, count=UNCERTAIN_CRASH_LIMIT - 1)],
            [verdict(0, UNCERTAIN_CRASH_LIMIT, given_up=True)],
        ),
        ([lost(0, PROGRESS, BLAME_WINDOW_S, count=3)], [verdict(0, 0)]),
        (
            [lost(0), lost(1, PROGRESS, BLAME_WINDOW_S, count=3)],
            [verdict(0, 1, suspect=True), verdict(1, 0)],
        ),
    ],
    ids=[
        'nothing ran',
        'first crash',
        'second crash, alone',
        'started after the last reply',
        'second crash, with another suspect',
        'second crash, beside a run with progress',
        'no reply to the order, alone',
        'no reply to the order, beside a run that had begun',
        'runs with progress',
        'run with progress, often',
        'long run',
        'long run beside a suspect',
    ],
)
def test_judge_crash(runs: list[LostRun], verdicts: list[CrashVerdict]) -> None:
    """Blames what was just started, and gives up a task only on clear or repeated evidence."""
    assert judge_crash(runs) == verdicts


def test_other_cause() -> None:
    """Does not give up a task after two crashes while targets crash without a suspect as well."""
    runs = [lost(0, count=1)]
    assert judge_crash(runs, has_other_cause=True) == [verdict(0, 2, suspect=True)]
    assert is_explained(runs)
    assert not is_explained([lost(0, PROGRESS, BLAME_WINDOW_S)])


def test_limits_keep_the_rule() -> None:
    """A task that is given up was started less often than the users' rule allows."""
    assert CRASH_LIMIT <= UNCERTAIN_CRASH_LIMIT < CRASHES_ALLOWED
