"""Long-running tasks are moved away from those that they harm, within what their step may miss."""

import logging
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from comfreywind.decisions.scheduling.separation import (
    LASTING_S,
    MOVE_INTERVAL_S,
    MOVE_LIMIT,
    Movable,
    choose_move,
)
from comfreywind.jobs.resources import NO_RESOURCES, Resources
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.interference_keeper import InterferenceKeeper
from comfreywind.scheduling.orders import StartOrder, StopOrder
from tests.helpers.scheduler_harness import SchedulerHarness
from tests.scheduling.test_interference_starts import NOISY, WEB, start_job, teach

FILLER = Step(
    1, Resources(1000, 100), best_effort=True, long_running=True, image='noisy', target_limit=1
)
SERVICE = replace(WEB, task_count=2, unavailable_limit=1)


class Separation:
    """A service `web` on targets that `noisy` tasks share, and a keeper that judges them."""

    def __init__(self, *steps: Step, targets: int = 2, cpu: int = 4000) -> None:
        self.harness = SchedulerHarness(targets, cpu)
        self.state = self.harness.scheduler_state
        self.stops: list[StopOrder] = []
        clock = SimpleNamespace(read_monotonic_s=lambda: self.harness.now_s)
        self.may_order = True
        self.keeper = InterferenceKeeper(
            self.state,
            lambda: self.may_order,
            self.harness.may_start,
            lambda orders: self.stops.extend(cast('list[StopOrder]', orders)),
            cast('Any', clock),
            self.harness.planner._metrics,
        )
        for number, step in enumerate(steps):
            start_job(self.harness, step, number)
        self.report_all()

    def report_all(self, percents: dict[TaskKey, int] | None = None) -> None:
        for target, record in self.state.targets.items():
            active = tuple((run.key, run.run_id) for run in record.runs.values())
            self.harness.report(target, active, percents=percents)

    def find_harm(self) -> list[StopOrder]:
        """Let the harm be known and last, and return the orders of the next review."""
        teach(self.state.interference.estimate, 'noisy', 0.6, self.harness.now_s)
        self.harness.now_s += LASTING_S
        return self.review()

    def review(self) -> list[StopOrder]:
        """Let all targets report, and return the stop orders of a review."""
        self.report_all()
        self.stops.clear()
        self.keeper.review()
        return list(self.stops)

    def end(self, stop: StopOrder) -> list[StartOrder]:
        """Let a stop take effect and return the starts that follow."""
        order = StartOrder(stop.target_id, stop.key, stop.run_id, '', '')
        self.harness.end(order, RunOutcome.STOPPED)
        return self.harness.start()


def test_moved_apart(caplog: pytest.LogCaptureFixture) -> None:
    """The best-effort task leaves, not the service; tasks that are apart are left alone."""
    caplog.set_level(logging.INFO)
    apart = Separation(WEB, FILLER)
    assert not apart.find_harm()
    fleet = Separation(WEB, FILLER, targets=1)
    fleet.harness.add_target('t1')
    stops = fleet.find_harm()
    assert [fleet.state.jobs[stop.key.job_id].job.steps[0].image for stop in stops] == ['noisy']
    assert 'to start apart from a task there, because image noisy slows image web' in caplog.text
    assert [order.target_id for order in fleet.end(stops[0])] == ['t1']
    fleet.harness.now_s += MOVE_INTERVAL_S
    assert not fleet.review()


@pytest.mark.parametrize(
    'case', ['short', 'no place', 'due', 'ceilings', 'not the holder', 'brief', 'none']
)
def test_not_moved(case: str) -> None:
    """Nothing is stopped beside short tasks, without a place to start again, or at once."""
    fleet = Separation(WEB, NOISY if case == 'short' else FILLER, targets=1)
    if case != 'no place':
        fleet.harness.add_target('t1')
        fleet.state.targets['t1'].maintenance_due = case == 'due'
    if case == 'due':
        # Otherwise the planner would choose the same target again.
        fleet.state.targets['t0'].cooldown_until_s = float('inf')
    fleet.state.unknown_usage = None if case == 'ceilings' else NO_RESOURCES
    fleet.may_order = case != 'not the holder'
    if case == 'brief':
        teach(fleet.state.interference.estimate, 'noisy', 0.6, fleet.harness.now_s)
        assert not fleet.review()
    else:
        assert bool(fleet.find_harm()) is (case == 'none')


@pytest.mark.parametrize('others', ['at work', 'starting', 'silent', 'unheard'])
def test_unavailable_limit(others: str) -> None:
    """A service is not moved while as many of its tasks as it may miss are not at work."""
    rival = replace(WEB, image='noisy', unavailable_limit=1)
    fleet = Separation(SERVICE, rival, targets=2)
    shared = next(
        run.target_id
        for target in fleet.state.targets.values()
        for run in target.runs.values()
        if run.image == 'noisy'
    )
    service = fleet.state.jobs[f'{0:016x}']
    other = next(run for run in service.runs.values() if run.target_id != shared)
    fleet.harness.add_target('t2')
    # Only the service may be moved.
    fleet.state.jobs[f'{1:016x}'].reconciled = False
    teach(fleet.state.interference.estimate, 'noisy', 0.6, fleet.harness.now_s)
    fleet.harness.now_s += LASTING_S
    fleet.report_all({other.key: 50} if others == 'starting' else None)
    record = fleet.state.targets[other.target_id]
    record.silent = others == 'silent'
    record.heard_s -= 3 if others == 'unheard' else 0
    fleet.keeper.review()
    assert [stop.key.job_id for stop in fleet.stops] == (
        [service.job.job_id] if others == 'at work' else []
    )


@pytest.mark.parametrize('targets', [2, 3])
def test_would_return(targets: int) -> None:
    """A task is not stopped if its step's spreading would bring it back to the same target."""
    fleet = Separation(replace(SERVICE, target_limit=0), replace(WEB, image='noisy'), cpu=2000)
    if targets == 3:
        fleet.harness.add_target('t2')
    fleet.state.jobs[f'{1:016x}'].reconciled = False
    assert len(fleet.find_harm()) == (targets == 3)


def test_one_at_a_time() -> None:
    """Tasks on several targets are moved one after the other."""
    fleet = Separation(replace(WEB, task_count=3), replace(FILLER, task_count=3), targets=3)
    for number in range(3, 6):
        fleet.harness.add_target(f't{number}')
    stops = fleet.find_harm()
    assert len(stops) == 1 and not fleet.review()
    fleet.end(stops[0])
    fleet.harness.now_s += MOVE_INTERVAL_S
    assert len(fleet.review()) == 1


def test_choice() -> None:
    """The task whose move avoids the most harm goes first, and one is not moved for ever."""
    task = Movable(TaskKey('a', 0, 0, 0), 0.3, LASTING_S, True, True, False, 0)
    worse = replace(task, key=TaskKey('b', 0, 0, 0), harm=0.5)
    assert choose_move([task, worse], MOVE_INTERVAL_S) is worse
    assert choose_move([task, replace(worse, move_count=MOVE_LIMIT)], MOVE_INTERVAL_S) is task
    assert choose_move([replace(task, best_effort=True), worse], MOVE_INTERVAL_S) != worse
