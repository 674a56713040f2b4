"""Ceilings of teams while a new holder doesn't know all runs of the earlier one."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio

from bench.job_fleet import TARGET_CPU, JobFleet, make_config, run_job_fleet
from comfreywind.decisions.scheduling.handover import compute_earlier_lapse_s
from comfreywind.decisions.scheduling.open_start import DEFAULT_LEASE_LIMIT_S
from comfreywind.jobs.resources import NO_RESOURCES, Resources
from comfreywind.jobs.step import Step
from comfreywind.jobs.team import Team
from comfreywind.scheduling.known_runs import KnownRuns
from comfreywind.scheduling.settlement import Reconciliation
from comfreywind.scheduling.term_keeper import HeldTerm
from tests.helpers.scheduler_harness import TEAM, SchedulerHarness, make_job
from tests.helpers.trio_clock import TrioClock

EARLIER_RUNS_LAPSE_S = compute_earlier_lapse_s(DEFAULT_LEASE_LIMIT_S)
SILENCE_S = 3.0
TASK_CPU = 500


@pytest.mark.parametrize(
    ('ceiling_cpu', 'unknown', 'started'),
    [
        (3000, NO_RESOURCES, 3),
        (3000, Resources(1000, 0), 2),
        (3000, Resources(3000, 0), 0),
        (3000, Resources(0, 9_999), 3),
        (3000, None, 0),
        (0, Resources(9000, 0), 4),
        (0, None, 4),
    ],
)
def test_unknown_runs_count(ceiling_cpu: int, unknown: Resources | None, started: int) -> None:
    """A team gets no more than its ceiling, of which unknown runs may take a part."""
    harness = SchedulerHarness(targets=1, cpu=9000)
    harness.scheduler_state.rules.teams[TEAM] = Team(TEAM, ceiling=Resources(ceiling_cpu))
    harness.scheduler_state.unknown_usage = unknown
    harness.add_job(make_job(Step(4, Resources(1000, 100))))
    assert len(harness.plan()) == started


def forget_target(harness: SchedulerHarness) -> None:
    """Remove the registration of a target."""
    del harness.scheduler_state.targets['t0']


def report_target(harness: SchedulerHarness) -> None:
    """Let a target report."""
    harness.report('t0')


def add_best_effort_job(harness: SchedulerHarness) -> None:
    """Add a job whose tasks may exceed the capacity of a target."""
    harness.add_job(make_job(Step(1, Resources(1000, 100), best_effort=True)))


def change_nothing(harness: SchedulerHarness) -> None:
    """Leave two targets of 4,000 millicores without a report."""


@pytest.mark.parametrize(
    ('change', 'known', 'gone', 'waited_s', 'unknown_cpu'),
    [
        (change_nothing, True, set(), 0, 8000),
        (change_nothing, True, {'t1'}, 0, 4000),
        (change_nothing, True, {'t0', 't1'}, 0, 0),
        (change_nothing, False, set(), 0, None),
        (change_nothing, False, set(), EARLIER_RUNS_LAPSE_S, 0),
        (change_nothing, True, set(), EARLIER_RUNS_LAPSE_S, 0),
        (report_target, True, set(), 0, 4000),
        (forget_target, True, set(), 0, None),
        (forget_target, True, {'t0'}, 0, 4000),
        (add_best_effort_job, True, set(), 0, None),
    ],
)
async def test_bound_of_unknown_usage(
    autojump_clock: trio.testing.MockClock,
    change: Callable[[SchedulerHarness], None],
    known: bool,
    gone: set[str],
    waited_s: float,
    unknown_cpu: int | None,
) -> None:
    """Targets that may have runs of an earlier holder count with their capacity."""
    harness = SchedulerHarness(targets=2, epoch=2)
    for record in harness.scheduler_state.targets.values():
        record.known_runs = KnownRuns.NONE
    change(harness)
    registry = SimpleNamespace(earlier_targets=frozenset({'t0', 't1'}), earlier_targets_known=known)
    clock = TrioClock()
    reconciliation = Reconciliation(
        HeldTerm(2, 1, clock.read_monotonic_s()),
        cast('Any', None),
        harness.scheduler_state,
        cast('Any', None),
        cast('Any', registry),
        clock,
        gone.__contains__,
    )
    await trio.sleep(waited_s)
    unknown = reconciliation.compute_unknown_usage()
    assert (None if unknown is None else unknown.cpu_millicores) == unknown_cpu


async def submit_jobs(fleet: JobFleet, node: int, numbers: range) -> None:
    """Submit jobs of four tasks each."""
    for number in numbers:
        assert await fleet.submit(node, f'{number:016x}', 'work_s=60', count=4) == 200


async def test_takeover_with_late_target() -> None:
    """A team must not exceed its ceiling when a target with its runs answers a new holder late.

    Seen in runs of the users on dewpa-sched (QUOTA), and here with twice the ceiling.
    """
    config = make_config(version=2)
    config['tenants'][0]['cap'] = {'cpu': TARGET_CPU}  # type: ignore[index]
    async with run_job_fleet(node_count=1, target_count=3) as fleet:
        fleet.store.write_document('op', 'config', config)
        await trio.sleep(1)
        async with fleet.run_node('node-9') as node:
            await submit_jobs(fleet, node, range(1, 3))
            with trio.fail_after(10):
                while sum(len(target.runs) for target in fleet.targets) < TARGET_CPU // TASK_CPU:
                    await trio.sleep(0.01)
            for target in fleet.targets:
                if target.runs:
                    target.silent_until_s = trio.current_time() + SILENCE_S
            fleet.scopes[0].cancel()
            # Those accepted after the takeover need not wait for the runs of older jobs.
            for number in range(3, 11):
                await submit_jobs(fleet, node, range(number, number + 1))
                await trio.sleep(SILENCE_S / 8)
            await trio.sleep(1)
        running = sum(len(target.runs) for target in fleet.targets)
    assert running <= TARGET_CPU // TASK_CPU
