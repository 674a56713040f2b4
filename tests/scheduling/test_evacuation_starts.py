"""No task is started in a data centre that the operator evacuates, through any path (rule EVAC)."""

from collections.abc import Callable
from typing import cast

import pytest
import trio

from bench.job_fleet import run_job_fleet
from comfreywind.decisions.scheduling.evacuation_copy import (
    EvacuationCopy,
    compute_copy_age_limit_s,
)
from comfreywind.errors import StoreUnavailableError
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.target_client import TargetClient
from comfreywind.scheduling.evacuation_watch import EvacuationWatch
from comfreywind.scheduling.orders import StartOrder
from comfreywind.scheduling.start_revocation import revoke_unanswered_starts
from tests.field_faults.test_paused_process import run_service
from tests.helpers.scheduler_harness import JOB_ID, SchedulerHarness, make_job
from tests.helpers.trio_clock import TrioClock
from tests.scheduling.test_advice_book import ADVISED_QUEUE, AdvisedHarness

KEY = TaskKey(JOB_ID, 0, 0, 0)
SMALL = Resources(1000, 100)
EVACUATED = 'north-2'
BOUND_S = 5.0


@pytest.mark.parametrize(
    ('data_centre', 'age_s', 'may_start'),
    [('dc', 0, True), ('dc', 3, True), ('dc', 3.1, False), (EVACUATED, 0, False)],
)
def test_age_of_copy(data_centre: str, age_s: float, may_start: bool) -> None:
    """Neither a known request nor an old copy, which may lack one, allows a start."""
    copy = EvacuationCopy(frozenset((EVACUATED,)), 10)
    limit_s = compute_copy_age_limit_s(BOUND_S)
    assert copy.may_start(data_centre, 10 + age_s, limit_s) is may_start
    assert not EvacuationCopy().may_start(data_centre, 10, limit_s)


def requeue_after_end(harness: SchedulerHarness, order: StartOrder) -> None:
    """Let the run fail, so that the task is tried again."""
    harness.end(order, RunOutcome.FAILED)
    harness.now_s += 5


def refuse(harness: SchedulerHarness, order: StartOrder) -> None:
    """Let the target refuse the start for want of room."""
    harness.answer(order, StartAnswer.NO_ROOM)
    harness.now_s += 5


def leave_open(harness: SchedulerHarness, order: StartOrder) -> None:
    """Leave the start without a reply, so that it binds the task to its target."""
    harness.answer(order, StartAnswer.UNKNOWN)
    run = harness.scheduler_state.targets['t0'].runs[order.key]
    harness.scheduler_state.discard_run(run)
    harness.scheduler_state.requeue(order.key)


def crash(harness: SchedulerHarness, order: StartOrder) -> None:
    """Let the target crash and come back, with the task suspected of the crash."""
    harness.answer(order, StartAnswer.STARTED)
    harness.restart('t0')


@pytest.mark.parametrize('lead_in', [requeue_after_end, refuse, leave_open, crash])
@pytest.mark.parametrize('gang', [False, True])
def test_planner(lead_in: Callable[[SchedulerHarness, StartOrder], None], gang: bool) -> None:
    """A task that ran or was ordered there before the request is started elsewhere or waits.

    The target registers in that data centre after the request. A task that a start order without
    a reply binds to it may run on no other.
    """
    harness = SchedulerHarness(targets=1)
    harness.add_job(make_job(Step(1, SMALL, gang=gang)))
    (order,) = cast('list[StartOrder]', harness.plan())
    lead_in(harness, order)
    harness.evacuated = {EVACUATED}
    harness.place_target('t0', EVACUATED)
    assert not harness.plan()
    harness.add_target('t9')
    assert len(harness.plan()) == (0 if lead_in is leave_open else 1)
    assert not harness.scheduler_state.targets['t0'].runs


def test_advised_target() -> None:
    """A ticket for a target there is not used, and the service is asked about others."""
    harness = AdvisedHarness(1, {'t0', 't9'})
    harness.add_job(make_job(queue=ADVISED_QUEUE))
    assert not harness.plan()
    harness.ask()
    harness.evacuated = {'dc'}
    harness.add_target('t9')
    harness.place_target('t9', EVACUATED)
    (order,) = harness.plan_with_advice()
    assert order.target_id == 't9'


@pytest.mark.parametrize('answer', [None, StartAnswer.UNKNOWN, StartAnswer.STARTED])
def test_orders_in_flight(answer: StartAnswer | None) -> None:
    """The target refuses a start that was sent before the request and comes late, by its fence."""
    harness = SchedulerHarness(targets=1)
    harness.add_job()
    (order,) = cast('list[StartOrder]', harness.plan())
    if answer is not None:
        harness.answer(order, answer)
    record = harness.scheduler_state.targets['t0']
    fence = record.doubt.fence
    assert not revoke_unanswered_starts(harness.scheduler_state, {EVACUATED})
    revoked = revoke_unanswered_starts(harness.scheduler_state, {'dc'})
    assert bool(revoked) is (answer is not StartAnswer.STARTED)
    assert record.doubt.fence == fence + len(revoked)
    harness.evacuated = {'dc'}
    harness.report('t0')
    assert not harness.plan()


async def test_order_that_waits_for_connection() -> None:
    """A start is checked again when its connection is there; stops and leases are not held up."""
    async with run_service() as (service, address):
        service.may_reply.set()
        client = TargetClient('t0', address, 1, lambda fence: True, lambda fence: False)
        reply = await client.start(KEY, 1, '', 1, 1)
        assert (reply.answer, service.requests) == (StartAnswer.EXPIRED, 0)
        assert await client.stop(KEY, 1, 1)


class FakeRows:
    """Rows of requests, whose reads fail or take time while a fault is set."""

    def __init__(self) -> None:
        """Start without requests."""
        self.keys: dict[str, int] = {}
        self.failing = False
        self.delay_s = 0.0
        self.contact = self

    async def wait_for_return(self) -> None:
        """Return at once."""

    async def read_versions(self, table: str, partition: str, prefix: str) -> dict[str, int]:
        """Return the rows as they are after the delay."""
        assert (table, partition, prefix) == ('op', '', 'evacuate/')
        await trio.sleep(self.delay_s)
        if self.failing:
            raise StoreUnavailableError('no reply')
        return dict(self.keys)


def make_watch(
    rows: FakeRows, changes: list[tuple[frozenset[str], frozenset[str]]]
) -> EvacuationWatch:
    """Return a watch whose feed is quiet."""
    return EvacuationWatch(
        cast('RowsClient', rows),
        trio.sleep_forever,
        TrioClock(),
        BOUND_S,
        lambda *change: changes.append(change),
    )


async def test_request_is_known_without_the_feed(autojump_clock: trio.testing.MockClock) -> None:
    """A request is known in time though the feed tells of nothing, and so is its end.

    The store's feeds are quiet for a second while it drops its history.
    """
    rows, changes = FakeRows(), cast('list[tuple[frozenset[str], frozenset[str]]]', [])
    watch = make_watch(rows, changes)
    async with trio.open_nursery() as nursery:
        assert not watch.may_start('dc')
        nursery.start_soon(watch.run)
        await trio.sleep(0.1)
        assert watch.may_start('dc')
        rows.keys = {'evacuate/dc': 4}
        await trio.sleep(1)
        assert (watch.may_start('dc'), watch.may_start('other')) == (False, True)
        rows.keys = {}
        await trio.sleep(1)
        assert watch.may_start('dc')
        nursery.cancel_scope.cancel()
    assert changes == [(frozenset(('dc',)), frozenset()), (frozenset(), frozenset(('dc',)))]


@pytest.mark.parametrize('failing', [False, True])
async def test_outage_before_request(autojump_clock: trio.testing.MockClock, failing: bool) -> None:
    """Nothing starts by a copy that is too old, and a store that is merely slow stops nothing."""
    rows = FakeRows()
    watch = make_watch(rows, [])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.run)
        await trio.sleep(0.1)
        rows.failing, rows.delay_s = failing, 1
        with trio.move_on_after(10) as limit:
            while watch.may_start('dc'):
                await trio.sleep(0.1)
        assert limit.cancelled_caught is not failing
        assert not failing or 2 < trio.current_time() <= 3.3
        rows.failing = False
        await trio.sleep(2)
        assert watch.may_start('dc')
        nursery.cancel_scope.cancel()


async def test_next_holder(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """A holder starts nothing before it has read the requests, and then nothing there.

    It makes no orders either that would be refused just before they are sent, again and again.
    """
    caplog.set_level('INFO')
    read = RowsClient.read_versions
    may_read = trio.Event()

    async def read_later(self: RowsClient, *names: str) -> dict[str, int]:
        await may_read.wait()
        return await read(self, *names)

    monkeypatch.setattr(RowsClient, 'read_versions', read_later)
    async with run_job_fleet(node_count=2, target_count=1) as fleet:
        assert await fleet.submit(0, JOB_ID) == 200
        await trio.sleep(1.5)
        # Not JSON: any value of the row counts as a request.
        fleet.store.store.put('op', 'evacuate/dc', 'AAAA')
        may_read.set()
        await trio.sleep(1)
        assert not fleet.log.starts
        assert 'not started' not in caplog.text
        fleet.store.store.put('op', 'evacuate/dc', None)
        await fleet.wait_for_state(1, JOB_ID, 'complete')


async def test_late_order_is_refused() -> None:
    """A target that carries out a start late, after the request, refuses it by its fence."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.targets[0].late_s = 3
        assert await fleet.submit(0, JOB_ID) == 200
        await trio.sleep(1)
        fleet.store.store.put('op', 'evacuate/dc', 'MQ==')
        fleet.targets[0].late_s = 0
        await trio.sleep(3.5)
        assert not fleet.log.starts
        fleet.store.store.put('op', 'evacuate/dc', None)
        await fleet.wait_for_state(0, JOB_ID, 'complete')
