"""The link to a target: leases, silence and intervals of polls."""

import itertools
from typing import Any, cast

import pytest
import trio

from comfreywind.errors import TargetReplacedError, TargetSilentError
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.run_report import RunOutcome, TargetReport
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.start_reply import StartReply
from comfreywind.jobs.step import Step
from comfreywind.metrics import NoMetrics
from comfreywind.platform.target_client import TargetClient
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.target_link import TargetLink
from comfreywind.scheduling.term_keeper import TermKeeper
from tests.helpers.scheduler_harness import SchedulerHarness, make_job
from tests.helpers.trio_clock import TrioClock


class FakeTarget:
    """Answers hold requests with an empty report until `failure` is set."""

    def __init__(self, harness: SchedulerHarness) -> None:
        """Start as target t0 of the harness."""
        self.harness = harness
        self.failure: Exception | None = None
        self.expiries: list[int | None] = []
        self.answer_after_s = 0.0
        self.born_ms = 1
        self.start_after_s = 0.0
        self.acknowledged: list[int] = []

    async def start(self, *_: object) -> StartReply:
        """Confirm a start."""
        await trio.sleep(self.start_after_s)
        return StartReply(StartAnswer.STARTED, incarnation_start_ms=self.born_ms)

    async def hold(
        self, fence: int, last_seen: int, expires_ms: int | None, wait_ms: int
    ) -> TargetReport:
        """Answer one hold request after its wait."""
        self.acknowledged.append(last_seen)
        await trio.sleep(wait_ms / 1000 + self.answer_after_s)
        if self.failure is not None:
            raise self.failure
        self.expiries.append(expires_ms)
        return TargetReport(int(trio.current_time() * 1000), self.born_ms, (), ())

    async def close(self) -> None:
        """Close nothing."""


class ValidTerm:
    """A term that never ends."""

    def is_valid(self) -> bool:
        """Return True."""
        return True


class NoJournal:
    """A journal that stores at once."""

    def wake(self) -> None:
        """Do nothing."""

    async def wait_until_stored(self, limit_s: float) -> None:
        """Return after 10 ms."""
        await trio.sleep(0.01)


def make_link(harness: SchedulerHarness, client: Any) -> TargetLink:
    """Return the link of target t0."""
    return TargetLink(
        harness.scheduler_state.targets['t0'],
        cast('TargetClient', client),
        harness.scheduler_state,
        cast('ProgressJournal', NoJournal()),
        cast('TermKeeper', ValidTerm()),
        TrioClock(),
        6,
        lambda orders: None,
        NoMetrics(),
    )


async def start_run(nursery: trio.Nursery, harness: SchedulerHarness, client: FakeTarget) -> Order:
    """Run the link of a target, and return the start order of a run that no report has to list."""
    link = make_link(harness, client)
    nursery.start_soon(link.run)
    await trio.sleep(0.5)
    (order,) = harness.plan()
    harness.scheduler_state.targets['t0'].runs[order.key].last_answer_s = float('inf')
    link.wake()
    return order


@pytest.mark.parametrize(
    ('failure', 'limit_s'),
    [(TargetSilentError('silent'), 7), (TargetReplacedError('another incarnation'), 2)],
)
async def test_runs_of_lost_target(
    autojump_clock: trio.testing.MockClock, failure: Exception, limit_s: float
) -> None:
    """The tasks of a target that is gone are queued again once its lease has ended.

    Seen on prevoz-plan mix, seed 726267510281: each poll of a target that was gone extended its
    lease in the holder's record, so that its runs never lapsed.
    """
    harness = SchedulerHarness(targets=1)
    harness.add_job()
    client = FakeTarget(harness)
    async with trio.open_nursery() as nursery:
        order = await start_run(nursery, harness, client)
        await trio.sleep(0.5)
        client.failure = failure
        with trio.fail_after(limit_s):
            while harness.scheduler_state.targets['t0'].runs:
                await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert list(harness.scheduler_state.jobs[order.key.job_id].waiting) == [order.key]


async def test_lease_outlasts_silence(autojump_clock: trio.testing.MockClock) -> None:
    """A task of a silent target is not started again while its first run may still hold a lease."""
    harness = SchedulerHarness(targets=1)
    harness.add_job()
    client = FakeTarget(harness)
    async with trio.open_nursery() as nursery:
        await start_run(nursery, harness, client)
        await trio.sleep(1.5)
        client.failure = TargetSilentError('silent')
        last_expiry_s = max(expiry or 0 for expiry in client.expiries) / 1000
        while harness.scheduler_state.targets['t0'].runs:
            assert trio.current_time() < last_expiry_s + 10
            await trio.sleep(0.1)
        assert trio.current_time() > last_expiry_s * 1.02
        nursery.cancel_scope.cancel()


def test_outcomes_are_known() -> None:
    """The outcomes that targets report are exactly these."""
    assert {outcome.value for outcome in RunOutcome} == {
        'done',
        'failed',
        'stopped',
        'lapsed',
        'broken',
        'alone',
    }


class SilentTarget(FakeTarget):
    """Never answers, and records the times of the requests."""

    def __init__(self, harness: SchedulerHarness) -> None:
        """Start without a request."""
        super().__init__(harness)
        self.asked_s: list[float] = []

    async def hold(
        self, fence: int, last_seen: int, expires_ms: int | None, wait_ms: int
    ) -> TargetReport:
        """Record the time of the request and give no answer."""
        self.asked_s.append(trio.current_time())
        raise TargetSilentError('refused')


async def test_polls_of_moved_targets(autojump_clock: trio.testing.MockClock) -> None:
    """Polls of a target whose VM has moved back off exponentially, because moves are many.

    A holder orders dozens of moves a second. Seen on prevoz-plan-large quiet-1: 1,728 moves left as
    many links that tried to connect three times a second until the entry and the lease were gone.
    """
    harness = SchedulerHarness(targets=1)
    client = SilentTarget(harness)
    harness.scheduler_state.targets['t0'].leaving = True
    harness.scheduler_state.targets['t0'].doubt.lease_end_s = trio.current_time() + 6
    with trio.fail_after(10):
        await make_link(harness, client).run()
    assert len(client.asked_s) <= 7


async def test_polls_of_silent_runs(autojump_clock: trio.testing.MockClock) -> None:
    """A silent target with runs is polled often, so that a recovery is noticed soon."""
    harness = SchedulerHarness(targets=1)
    harness.add_job()
    harness.start()
    client = SilentTarget(harness)
    harness.scheduler_state.targets['t0'].doubt.lease_end_s = trio.current_time() + 6
    with trio.move_on_after(5):
        await make_link(harness, client).run()
    gaps_s = [later - earlier for earlier, later in itertools.pairwise(client.asked_s)]
    assert max(gaps_s) < 0.5


@pytest.mark.parametrize(
    ('long_running', 'at_work', 'wait_ms'), [(1, 0, 500), (1, 1, 1000), (0, 0, 1000)]
)
def test_wait_for_report(long_running: int, at_work: int, wait_ms: int) -> None:
    """Long-running tasks that warm up are polled more often, because maintenance waits for them.

    Otherwise they would be known to be at work up to a second late.
    """
    harness = SchedulerHarness(targets=1)
    harness.add_job()
    (order,) = harness.start()
    run = harness.scheduler_state.targets['t0'].runs[order.key]
    run.long_running, run.at_work = bool(long_running), bool(at_work)
    link = make_link(harness, FakeTarget(harness))
    link._record.clock_offset_ms = 0
    assert link._choose_wait_ms() == wait_ms


class CountingTerm(ValidTerm):
    """A term that notes why it was dropped."""

    def __init__(self) -> None:
        """Start as held."""
        self.reasons: list[str] = []

    def step_down(self, reason: str) -> None:
        """Note the reason."""
        self.reasons.append(reason)


class RefusingTarget(FakeTarget):
    """Has a higher fence than that of the first call, as from the same or a later holder."""

    def __init__(self, harness: SchedulerHarness, raised_meanwhile: bool) -> None:
        """Raise the fence of the record during the first call if `raised_meanwhile` is set."""
        super().__init__(harness)
        self.raised_meanwhile = raised_meanwhile
        self.fences: list[int] = []

    async def hold(
        self, fence: int, last_seen: int, expires_ms: int | None, wait_ms: int
    ) -> TargetReport | None:
        """Refuse the first call."""
        self.fences.append(fence)
        if len(self.fences) > 1:
            return await super().hold(fence, last_seen, expires_ms, wait_ms)
        if self.raised_meanwhile:
            self.harness.scheduler_state.targets['t0'].raise_fence()
        return None


# Guards against a holder that drops its term because a target refuses a fence that the holder
# itself has raised since.
@pytest.mark.parametrize('raised_meanwhile', [True, False])
async def test_refused_fence(
    autojump_clock: trio.testing.MockClock, raised_meanwhile: bool
) -> None:
    """Drops the term only if a target has a fence above the latest of this holder."""
    harness = SchedulerHarness(targets=1)
    client, term = RefusingTarget(harness, raised_meanwhile), CountingTerm()
    link = make_link(harness, client)
    link._keeper = cast('TermKeeper', term)
    with trio.move_on_after(3):
        await link.run()
    assert bool(term.reasons) is not raised_meanwhile
    assert harness.scheduler_state.targets['t0'].doubt.settled


async def test_fences_used_up(autojump_clock: trio.testing.MockClock) -> None:
    """Drops the term before an order has a fence of the next term."""
    harness = SchedulerHarness(targets=1)
    client, term = RefusingTarget(harness, raised_meanwhile=True), CountingTerm()
    harness.scheduler_state.last_fence = harness.scheduler_state.targets['t0'].doubt.fence
    link = make_link(harness, client)
    link._keeper = cast('TermKeeper', term)
    with trio.move_on_after(3):
        await link.run()
    assert term.reasons
    assert max(client.fences) == harness.scheduler_state.last_fence


# Guards against tasks that wait for a second after the restart of their target, because the poll of
# the incarnation before is open until its timeout.
@pytest.mark.parametrize('told_by', ['registration', 'reply'])
async def test_restart_ends_poll(autojump_clock: trio.testing.MockClock, told_by: str) -> None:
    """Polls a target that has restarted at once, although an earlier poll is still open."""
    harness = SchedulerHarness(targets=1)
    client = FakeTarget(harness)
    async with trio.open_nursery() as nursery:
        link = make_link(harness, client)
        nursery.start_soon(link.run)
        await trio.sleep(0.5)
        client.answer_after_s = 60
        link.wake()
        await trio.sleep(0.1)
        client.answer_after_s = 0
        client.born_ms = 2
        if told_by == 'registration':
            harness.register('t0', incarnation_start_ms=2)
            link.poll_anew()
        else:
            harness.add_job()
            (order,) = harness.plan()
            await link.send(order)
        await trio.sleep(0.1)
        assert harness.scheduler_state.targets['t0'].doubt.settled
        nursery.cancel_scope.cancel()


async def test_report_of_earlier_incarnation(autojump_clock: trio.testing.MockClock) -> None:
    """Polls a target at an interval whose reports are older than its registration."""
    harness = SchedulerHarness(targets=1)
    client = FakeTarget(harness)
    link = make_link(harness, client)
    harness.register('t0', incarnation_start_ms=2)
    with trio.move_on_after(2):
        await link.run()
    assert 2 < len(client.expiries) < 30


# Guards against ends that a restarted target forgets before they are read (LOST, TWICE): each poll
# repeated the numbers of the incarnation before.
async def test_ends_acknowledged_once(autojump_clock: trio.testing.MockClock) -> None:
    """Acknowledges an end until a reply shows that the target knows, and not again."""
    harness = SchedulerHarness(targets=1)
    client = FakeTarget(harness)
    record = harness.scheduler_state.targets['t0']
    link = make_link(harness, client)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.run)
        await trio.sleep(0.5)
        record.applied_number = record.stored_number = 7
        client.failure = TargetSilentError('silent')
        link.wake()
        await trio.sleep(1)
        client.failure = None
        await trio.sleep(4)
        client.acknowledged.clear()
        await trio.sleep(10)
        nursery.cancel_scope.cancel()
    assert record.acknowledged_number == 7
    assert set(client.acknowledged) == {0}


async def test_one_poll_after_restart(autojump_clock: trio.testing.MockClock) -> None:
    """Abandons a poll for the first reply of a new incarnation only, not for each further one."""
    harness = SchedulerHarness(targets=1, cpu=8000)
    harness.add_job(make_job(Step(8, Resources(1000, 100))))
    client = FakeTarget(harness)
    async with trio.open_nursery() as nursery:
        link = make_link(harness, client)
        nursery.start_soon(link.run)
        await trio.sleep(0.5)
        client.born_ms, client.answer_after_s, client.start_after_s = 2, 0.02, 0.1
        client.acknowledged.clear()
        for order in harness.plan():
            nursery.start_soon(link.send, order)
            await trio.sleep(0.01)
        await trio.sleep(0.5)
        # The poll of before, and those with the raised fence.
        assert len(client.acknowledged) <= 5
        assert harness.scheduler_state.targets['t0'].doubt.settled
        nursery.cancel_scope.cancel()
