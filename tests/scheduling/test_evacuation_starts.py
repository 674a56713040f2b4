"""No task is started in a data centre that the operator evacuates, through any path (rule EVAC)."""

from collections.abc import Callable
from functools import partial
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
from comfreywind.settings.address import Address
from tests.helpers.scheduler_harness import JOB_ID, SchedulerHarness, make_job
from tests.helpers.trio_clock import TrioClock

KEY = TaskKey(JOB_ID, 0, 0, 0)
SMALL = Resources(1000, 100)
LARGE = Resources(3000, 100)
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

    One that a start order without a reply binds to its target may run on no other.
    """
    harness = SchedulerHarness(targets=1)
    harness.add_job(make_job(Step(1, SMALL, gang=gang)))
    (order,) = cast('list[StartOrder]', harness.plan())
    lead_in(harness, order)
    harness.place_target('t0', EVACUATED)
    harness.evacuated = {EVACUATED}
    assert not harness.plan()
    harness.add_target('t9')
    assert len(harness.plan()) == (0 if lead_in is leave_open else 1)
    assert not harness.scheduler_state.targets['t0'].runs


def test_target_that_moves_there() -> None:
    """A target that registers in the data centre after the request gets nothing."""
    harness = SchedulerHarness(targets=1)
    harness.evacuated = {EVACUATED}
    harness.place_target('t0', EVACUATED)
    harness.add_job()
    assert not harness.plan()


@pytest.mark.parametrize('answer', [None, StartAnswer.UNKNOWN, StartAnswer.STARTED])
def test_orders_in_flight(answer: StartAnswer | None) -> None:
    """The target refuses a start that was sent before the request and comes late, by its fence."""
    harness = SchedulerHarness(targets=1)
    harness.add_job()
    (order,) = cast('list[StartOrder]', harness.plan())
    if answer is not None:
        harness.answer(order, answer)
    record = harness.scheduler_state.targets['t0']
    fence = record.fence
    assert not revoke_unanswered_starts(harness.scheduler_state, {EVACUATED})
    revoked = revoke_unanswered_starts(harness.scheduler_state, {'dc'})
    assert bool(revoked) is (answer is not StartAnswer.STARTED)
    assert record.fence == fence + len(revoked)
    harness.evacuated = {'dc'}
    harness.report('t0')
    assert not harness.plan()


async def test_order_that_waits_for_connection() -> None:
    """A start is checked again when its connection is there; stops and leases are not held up."""
    received: list[bytes] = []

    async def serve(stream: trio.SocketStream) -> None:
        request = await stream.receive_some()
        if not request:
            return
        received.append(request)
        await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, host='127.0.0.1'), serve, 0)
        address = Address('127.0.0.1', listeners[0].socket.getsockname()[1])
        client = TargetClient('t0', address, 1, lambda fence: True, lambda fence: False)
        reply = await client.start(KEY, 1, '', 1, 1)
        assert (reply.answer, received) == (StartAnswer.EXPIRED, [])
        assert await client.stop(KEY, 1, 1)
        nursery.cancel_scope.cancel()


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
        stopped_s = None
        for _ in range(100):
            await trio.sleep(0.1)
            if not watch.may_start('dc'):
                stopped_s = stopped_s or trio.current_time()
        if failing:
            assert stopped_s is not None and 2 < stopped_s <= 3.3
        else:
            assert stopped_s is None
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
