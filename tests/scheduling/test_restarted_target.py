"""What the scheduler state knows of one incarnation of a target, and what of its id."""

import pytest

from comfreywind.decisions.scheduling.open_start import ORDER_DELAY_LIMIT_S
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.start_reply import StartReply
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.orders import StartOrder
from tests.helpers.scheduler_harness import JOB_ID, SchedulerHarness, make_job

TASKS = 3
STEP = Step(TASKS, Resources(1000, 100), estimate_ms=1000)


def order_tasks() -> tuple[SchedulerHarness, list[StartOrder]]:
    """Return a harness whose only target has restarted unnoticed, and was then sent three starts.

    The first is answered; the others are on their way.
    """
    harness = SchedulerHarness(targets=1)
    harness.add_job(make_job(STEP))
    orders = [order for order in harness.plan() if isinstance(order, StartOrder)]
    harness.scheduler_state.apply_start_answer(
        orders[0], StartReply(StartAnswer.STARTED), harness.now_s
    )
    return harness, orders


def list_waiting(harness: SchedulerHarness) -> list[TaskKey]:
    """Return the tasks that wait for a start."""
    return list(harness.scheduler_state.jobs[JOB_ID].waiting)


# Guards against a second run of tasks whose orders a new incarnation carries out after its first
# report (TWICE).
@pytest.mark.parametrize('told_by', ['report', 'registration'])
@pytest.mark.parametrize('carried_out', range(TASKS + 1))
def test_orders_to_new_incarnation(told_by: str, carried_out: int) -> None:
    """Queues only tasks again that the target lacks once it refuses what was sent before."""
    harness, orders = order_tasks()
    record = harness.scheduler_state.targets['t0']
    earlier_fence = record.doubt.fence
    if told_by == 'report':
        harness.report('t0', incarnation_start_ms=2, fence=earlier_fence)
    else:
        harness.register('t0', incarnation_start_ms=2)
        harness.report('t0', incarnation_start_ms=2, fence=earlier_fence)
    assert record.doubt.fence > earlier_fence
    assert not list_waiting(harness)
    active = tuple((order.key, order.run_id) for order in orders[:carried_out])
    harness.report('t0', active)
    assert list_waiting(harness) == [order.key for order in orders[carried_out:]]
    assert set(record.runs) == {order.key for order in orders[:carried_out]}


@pytest.mark.parametrize(
    ('clock_ms', 'born_ms', 'same'),
    [
        (5_000, 0, True),
        (5_400, 0, True),
        (4_600, 0, True),
        (100, 0, False),
        (60_000, 0, False),
        (None, 0, True),
        (None, 1, True),
        (5_000, 2, False),
    ],
)
def test_reply_of_another_incarnation(clock_ms: int | None, born_ms: int, same: bool) -> None:
    """Starts nothing more on a target whose reply may be that of a new incarnation."""
    harness = SchedulerHarness(targets=1)
    harness.add_job(make_job(STEP))
    record = harness.scheduler_state.targets['t0']
    record.clock_offset_ms = 5_000 - harness.now_s * 1000
    order = harness.plan()[0]
    assert isinstance(order, StartOrder)
    reply = StartReply(StartAnswer.STARTED, clock_ms, born_ms)
    harness.scheduler_state.apply_start_answer(order, reply, harness.now_s)
    assert record.may_start(harness.now_s) == same
    harness.report('t0', ((order.key, order.run_id),))
    assert record.may_start(harness.now_s)


@pytest.mark.parametrize('restarts', [1, 2, 3])
def test_restarts_in_series(restarts: int) -> None:
    """Waits for the last incarnation, whichever of them has reported."""
    harness, orders = order_tasks()
    record = harness.scheduler_state.targets['t0']
    for number in range(restarts):
        fence = record.doubt.fence
        harness.report('t0', incarnation_start_ms=2 + number, fence=fence)
        assert record.doubt.fence == fence + 1
        assert not list_waiting(harness)
    harness.report('t0')
    assert list_waiting(harness) == [order.key for order in orders]


def test_late_report_of_earlier_incarnation() -> None:
    """Ignores a report that was overtaken by the registration of a new incarnation."""
    harness, orders = order_tasks()
    harness.register('t0', incarnation_start_ms=2)
    harness.report('t0', incarnation_start_ms=1)
    assert not harness.scheduler_state.targets['t0'].doubt.settled
    assert len(harness.scheduler_state.targets['t0'].runs) == len(orders)


# Guards against an order that waits for a connection while its task is queued again.
@pytest.mark.parametrize('event', ['lapse', 'end', 'restart', 'requeue'])
def test_dropped_runs_raise_fence(event: str) -> None:
    """Has orders refused whose runs were dropped, also if they are still to be sent."""
    harness = SchedulerHarness(targets=1)
    harness.add_job(make_job(STEP))
    orders = harness.start()
    state, record = harness.scheduler_state, harness.scheduler_state.targets['t0']
    fence = record.doubt.fence
    if event == 'lapse':
        state.lapse_runs(record)
    if event == 'end':
        state.end_incarnation(record)
    if event == 'requeue':
        state.requeue_runs(record)
    if event == 'restart':
        harness.restart('t0')
    assert record.doubt.fence > fence
    assert not state.is_ordered(orders[1])


# Guards against a second run of tasks that a restarted target runs for longer than the holder
# expects: their order named a time on the clock of the incarnation before (TWICE).
@pytest.mark.parametrize('lease_limit_s', [3.0, 6.0, 20.0])
@pytest.mark.parametrize('fenced', [True, False])
def test_lease_on_earlier_clock(lease_limit_s: float, fenced: bool) -> None:
    """Waits for the longest lease, and for late orders unless these are refused already."""
    harness, orders = order_tasks()
    harness.scheduler_state.lease_limit_s = lease_limit_s
    record = harness.scheduler_state.targets['t0']
    active = tuple((order.key, order.run_id) for order in orders)
    harness.report('t0', active, incarnation_start_ms=2, fence=record.doubt.fence)
    if fenced:
        harness.report('t0', active)
    delay_limit_s = 0 if fenced else ORDER_DELAY_LIMIT_S
    wait_s = record.doubt.lease_end_s - harness.now_s
    assert wait_s >= 1.02 * lease_limit_s + delay_limit_s
    assert wait_s < 1.02 * lease_limit_s + delay_limit_s + 1


# Guards against a task that counts as running with a run that was lost, while an earlier run of it
# is going on.
@pytest.mark.parametrize('long_running', [True, False])
def test_late_order_takes_place_of_lost_run(long_running: bool) -> None:
    """Records the run that a restarted target lists, not the later one that it has lost."""
    harness = SchedulerHarness(targets=1)
    harness.add_job(make_job(Step(1, Resources(1000, 100), long_running=long_running)))
    (first,) = harness.plan()
    assert isinstance(first, StartOrder)
    harness.answer(first, StartAnswer.UNKNOWN)
    harness.restart('t0')
    (second,) = harness.start()
    harness.report('t0', ((second.key, second.run_id),))
    harness.register('t0', incarnation_start_ms=3)
    harness.report('t0', ((first.key, first.run_id),))
    record = harness.scheduler_state.targets['t0']
    assert record.runs[first.key].run_id == first.run_id
    assert not harness.plan()
    harness.end(first, RunOutcome.LAPSED)
    (third,) = harness.start()
    assert third.run_id > second.run_id
