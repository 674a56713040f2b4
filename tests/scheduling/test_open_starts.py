"""Start orders without a reply, which bind a task to their target until they can't take effect."""

from collections.abc import Callable

import pytest

from comfreywind.decisions.scheduling.open_start import (
    DEFAULT_LEASE_LIMIT_S,
    ORDER_DELAY_LIMIT_S,
    compute_late_lease_s,
)
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.start_reply import StartReply
from comfreywind.jobs.step import Step
from comfreywind.scheduling.orders import Order, StartOrder
from tests.helpers.scheduler_harness import JOB_ID, SchedulerHarness, list_stops, make_job

OPEN_START_S = compute_late_lease_s(DEFAULT_LEASE_LIMIT_S)
STEP = Step(1, Resources(1000, 100), estimate_ms=1000)


def order_one(
    answer: StartAnswer = StartAnswer.UNKNOWN, **fields: object
) -> tuple[SchedulerHarness, StartOrder]:
    """Return a harness with two targets and a start to which that was the answer."""
    harness = SchedulerHarness(targets=2)
    harness.add_job(make_job(STEP, **fields))
    (order,) = harness.plan()
    assert isinstance(order, StartOrder)
    harness.answer(order, answer)
    return harness, order


def get_other(order: StartOrder) -> str:
    """Return the target that was not chosen."""
    return 't1' if order.target_id == 't0' else 't0'


def stop_and_confirm(harness: SchedulerHarness, order: StartOrder) -> None:
    """Let the target not list the run, and confirm its stop."""
    orders = harness.report(order.target_id)
    assert list_stops(orders) == [(order.key, order.run_id)]
    for stop in orders:
        harness.scheduler_state.apply_stop_answer(
            stop,  # type: ignore[arg-type]
            confirmed=True,
            now_s=harness.now_s,
        )
    harness.report(order.target_id)


def restart(harness: SchedulerHarness, order: StartOrder) -> None:
    """Let the target start again under its id."""
    harness.restart(order.target_id)


def lapse(harness: SchedulerHarness, order: StartOrder) -> None:
    """Let the target fall silent until its lease has ended."""
    state = harness.scheduler_state
    record = state.targets[order.target_id]
    record.silent = True
    state.open_starts.note_silence(order.target_id, harness.now_s)
    state.lapse_runs(record)


Event = Callable[[SchedulerHarness, StartOrder], None]


def list_starts(orders: list[Order]) -> list[str]:
    """Return the targets of the start orders."""
    return [order.target_id for order in orders if isinstance(order, StartOrder)]


# Guards against a second run of a task whose unanswered order is carried out by a later
# incarnation (TWICE).
@pytest.mark.parametrize('answer', [StartAnswer.UNKNOWN, StartAnswer.DISCONNECTED])
@pytest.mark.parametrize('event', [stop_and_confirm, restart, lapse])
def test_bound_to_target(answer: StartAnswer, event: Event) -> None:
    """Starts a task elsewhere only when its unanswered order can't lead to a run any more."""
    harness, order = order_one(answer)
    event(harness, order)
    sent_s = harness.now_s
    harness.scheduler_state.targets[order.target_id].cooldown_until_s = float('inf')
    assert not list_starts(harness.plan())
    harness.now_s = sent_s + OPEN_START_S - 1
    assert not list_starts(harness.plan())
    harness.now_s = sent_s + OPEN_START_S
    assert list_starts(harness.plan()) == [get_other(order)]


@pytest.mark.parametrize('event', [stop_and_confirm, restart])
def test_started_again_on_same_target(event: Event) -> None:
    """Starts a task again at once on the target to which its unanswered order was sent."""
    harness, order = order_one()
    event(harness, order)
    assert list_starts(harness.plan()) == [order.target_id]


def test_order_in_flight_at_restart() -> None:
    """Binds a task whose order has no answer yet when its target is found to have restarted."""
    harness = SchedulerHarness(targets=2)
    harness.add_job(make_job(STEP))
    (order,) = harness.plan()
    assert isinstance(order, StartOrder)
    harness.restart(order.target_id)
    harness.scheduler_state.targets[order.target_id].cooldown_until_s = float('inf')
    assert not list_starts(harness.plan())
    harness.answer(order, StartAnswer.FENCED)
    assert list_starts(harness.plan()) == [get_other(order)]


@pytest.mark.parametrize(
    ('wait_s', 'settled'),
    [(0, False), (ORDER_DELAY_LIMIT_S - 1, False), (ORDER_DELAY_LIMIT_S, True)],
)
def test_settled_by_report(wait_s: float, settled: bool) -> None:
    """Closes an order when the target lacks its run after the time in which orders arrive."""
    harness, order = order_one()
    stop_and_confirm(harness, order)
    harness.now_s += wait_s
    harness.report(order.target_id)
    harness.scheduler_state.targets[order.target_id].cooldown_until_s = float('inf')
    assert bool(list_starts(harness.plan())) == settled


def test_silence_prolongs() -> None:
    """Waits for a lease that may be extended late, beyond the run that may be started late."""
    harness, order = order_one()
    restart(harness, order)
    harness.now_s += ORDER_DELAY_LIMIT_S - 1
    lapse(harness, order)
    silent_s = harness.now_s
    harness.now_s = silent_s + OPEN_START_S - 1
    assert not list_starts(harness.plan())
    harness.now_s = silent_s + OPEN_START_S
    assert list_starts(harness.plan()) == [get_other(order)]


@pytest.mark.parametrize('known_by', ['active', 'ended', 'replaced', 'refused'])
def test_closed(known_by: str) -> None:
    """Binds no task once it is known what became of its order."""
    harness, order = order_one()
    state = harness.scheduler_state
    if known_by == 'active':
        harness.report(order.target_id, ((order.key, order.run_id),))
        harness.restart(order.target_id)
    if known_by == 'ended':
        harness.report(order.target_id, ended=((order.key, order.run_id, RunOutcome.LAPSED),))
    if known_by == 'replaced':
        harness.answer(order, StartAnswer.REPLACED)
    if known_by == 'refused':
        harness.answer(order, StartAnswer.SUPERSEDED)
    assert state.open_starts.find_target(order.key, harness.now_s) is None


def test_started_by_unknown_incarnation() -> None:
    """Binds a task whose start was confirmed by an incarnation that may not be the known one."""
    harness = SchedulerHarness(targets=2)
    harness.add_job(make_job(STEP))
    (order,) = harness.plan()
    assert isinstance(order, StartOrder)
    reply = StartReply(StartAnswer.STARTED, clock_ms=10_000)
    harness.scheduler_state.apply_start_answer(order, reply, harness.now_s)
    lapse(harness, order)
    assert not list_starts(harness.plan())
    harness.report(order.target_id, ((order.key, order.run_id),))
    assert not list_starts(harness.plan())
    assert harness.scheduler_state.open_starts.find_target(order.key, harness.now_s) is None


def test_other_tasks_go_on() -> None:
    """Starts the other tasks of a step while one of them is bound to a target that is silent."""
    harness = SchedulerHarness(targets=2, cpu=1000)
    harness.add_job(make_job(Step(3, Resources(1000, 100), estimate_ms=1000)))
    first, second = (order for order in harness.plan() if isinstance(order, StartOrder))
    harness.answer(first, StartAnswer.UNKNOWN)
    harness.answer(second, StartAnswer.STARTED)
    lapse(harness, first)
    harness.end(second, RunOutcome.DONE)
    assert list_starts(harness.plan()) == [second.target_id]
    assert first.key in harness.scheduler_state.jobs[JOB_ID].waiting
