"""Targets whose capacity shrinks and grows while they run."""

from dataclasses import replace

import pytest

from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from tests.helpers.scheduler_harness import TEAM, SchedulerHarness, make_job

TASK = Step(1, Resources(1000, 100))


def set_capacity(rig: SchedulerHarness, cpu_millicores: int, incarnation_start_ms: int = 1) -> None:
    """Register the target again with another capacity."""
    entry = replace(
        rig.scheduler_state.targets['t0'].entry,
        capacity=Resources(cpu_millicores, 10_000),
        incarnation_start_ms=incarnation_start_ms,
    )
    rig.scheduler_state.register_target(entry)


def count_starts(rig: SchedulerHarness, tasks: int) -> int:
    """Return how many of that number of new tasks are started."""
    number = len(rig.scheduler_state.jobs)
    rig.add_job(make_job(replace(TASK, task_count=tasks), job_id=f'{number:016x}'))
    return len(rig.start())


@pytest.mark.parametrize(
    ('running', 'cpu_millicores', 'starts'),
    [(0, 2000, 2), (1, 2000, 1), (3, 2000, 0), (3, 0, 0), (4, 3000, 0), (3, 6000, 3)],
)
def test_starts_within_new_capacity(running: int, cpu_millicores: int, starts: int) -> None:
    """Starts only what fits into the capacity that the target has now, beside all that runs."""
    rig = SchedulerHarness(1)
    assert count_starts(rig, running) == running if running else True
    set_capacity(rig, cpu_millicores)
    assert count_starts(rig, 9) == starts


def test_stopping_run_counts() -> None:
    """Counts a run that is being stopped until its end is listed."""
    rig = SchedulerHarness(1)
    rig.add_job(make_job(replace(TASK, task_count=2)))
    first, second = rig.start()
    run = rig.scheduler_state.targets['t0'].runs[first.key]
    rig.scheduler_state.stop_run(run, rig.now_s)
    set_capacity(rig, 2000)
    assert count_starts(rig, 1) == 0
    rig.report('t0', ((second.key, 2),), ((first.key, first.run_id, RunOutcome.STOPPED),))
    assert len(rig.start()) == 1


# Guards against starts beyond the capacity of a target that has restarted with a smaller one
# (LIMIT): its report told of the new incarnation before its registration told of the new capacity.
def test_capacity_of_earlier_incarnation() -> None:
    """Starts nothing on a new incarnation until its own registration tells its capacity."""
    rig = SchedulerHarness(1)
    rig.report('t0', incarnation_start_ms=2)
    rig.report('t0')
    assert count_starts(rig, 4) == 0
    set_capacity(rig, 2000, incarnation_start_ms=2)
    assert len(rig.start()) == 2


def test_registration_without_incarnation() -> None:
    """Uses a target whose registration does not tell its incarnation."""
    rig = SchedulerHarness(1)
    set_capacity(rig, 4000, incarnation_start_ms=0)
    rig.report('t0', incarnation_start_ms=2)
    assert count_starts(rig, 1) == 0
    rig.report('t0')
    assert len(rig.start()) == 1


# Guards against starts beyond the capacity of a target on which a new holder stops runs that are
# not needed any more (LIMIT): these were adopted without the resources that they still take.
def test_unneeded_run_counts_until_stopped() -> None:
    """Counts a run of an earlier holder that is being stopped against target and team."""
    rig = SchedulerHarness(1, epoch=2)
    job = rig.add_job(make_job(replace(TASK, request=Resources(3000, 100))))
    rig.scheduler_state.cancel_job(job.job_id)
    key = TaskKey(job.job_id, 0, 0, 0)
    rig.report('t0', ((key, 1),))
    assert count_starts(rig, 2) == 1
    assert rig.scheduler_state.team_usage[TEAM] == Resources(4000, 200)
    (started,) = (run for run in rig.scheduler_state.targets['t0'].runs.values() if run.key != key)
    rig.report('t0', ((started.key, started.run_id),), ((key, 1, RunOutcome.STOPPED),))
    assert len(rig.start()) == 1
    assert rig.scheduler_state.team_usage[TEAM] == Resources(2000, 200)
