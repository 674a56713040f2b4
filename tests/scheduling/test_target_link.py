"""The link to a target: leases and silence."""

import itertools
from typing import Any, cast

import pytest
import trio

from comfreywind.errors import TargetReplacedError, TargetSilentError
from comfreywind.jobs.run_report import RunOutcome, TargetReport
from comfreywind.metrics import NoMetrics
from comfreywind.platform.target_client import TargetClient
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.target_link import TargetLink
from comfreywind.scheduling.term_keeper import TermKeeper
from tests.helpers.scheduler_harness import SchedulerHarness
from tests.helpers.trio_clock import TrioClock


class FakeTarget:
    """Answers holds with an empty list until it falls silent or is replaced."""

    def __init__(self, harness: SchedulerHarness) -> None:
        """Answer for the runs that the board has on t0."""
        self.harness = harness
        self.failure: Exception | None = None
        self.expiries: list[int | None] = []

    async def hold(
        self, fence: int, last_seen: int, expires_ms: int | None, wait_ms: int
    ) -> TargetReport:
        """Answer one hold."""
        await trio.sleep(wait_ms / 1000)
        if self.failure is not None:
            raise self.failure
        self.expiries.append(expires_ms)
        return TargetReport(int(trio.current_time() * 1000), 1, (), ())

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

    async def wait_stored(self, limit_s: float) -> None:
        """Return after a moment."""
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
    """Run the link of a target, and order a run that no report has to show; return the order."""
    link = make_link(harness, client)
    nursery.start_soon(link.run)
    await trio.sleep(0.5)
    (order,) = harness.plan()
    harness.scheduler_state.targets['t0'].runs[order.key].last_answer_s = float('inf')
    link.wake()
    return order


@pytest.mark.parametrize(
    ('failure', 'limit_s'),
    [(TargetSilentError('silent'), 7), (TargetReplacedError('another life'), 2)],
)
async def test_runs_of_lost_target(
    autojump_clock: trio.testing.MockClock, failure: Exception, limit_s: float
) -> None:
    """Guards against tasks that never run again after their target has gone.

    Seen on prevoz-plan mix, seed 726267510281: each look at a target that had left moved the end of
    its lease on, so that its runs never lapsed.
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
    """Guards against a second run while the first may still hold its lease."""
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
    """Guards against an outcome on the wire that the product does not know."""
    assert {outcome.value for outcome in RunOutcome} == {
        'done',
        'failed',
        'stopped',
        'lapsed',
        'broken',
        'alone',
    }


class SilentTarget(FakeTarget):
    """Never answers, and notes when it was asked."""

    def __init__(self, harness: SchedulerHarness) -> None:
        """Start without a call."""
        super().__init__(harness)
        self.asked_s: list[float] = []

    async def hold(
        self, fence: int, last_seen: int, expires_ms: int | None, wait_ms: int
    ) -> TargetReport:
        """Note the call and refuse it."""
        self.asked_s.append(trio.current_time())
        raise TargetSilentError('refused')


async def test_looks_at_moved_targets(autojump_clock: trio.testing.MockClock) -> None:
    """Guards the cost of targets whose VMs have moved: a holder orders dozens of moves a second.

    Pattern: exponential backoff. Seen on prevoz-plan-large quiet-1: 1,728 moves left as many links
    that tried to connect three times a second until the entry and the lease were gone.
    """
    harness = SchedulerHarness(targets=1)
    client = SilentTarget(harness)
    harness.scheduler_state.targets['t0'].leaving = True
    harness.scheduler_state.targets['t0'].lease_end_s = trio.current_time() + 6
    with trio.fail_after(10):
        await make_link(harness, client).run()
    assert len(client.asked_s) <= 7


async def test_looks_at_silent_runs(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a target with runs that is found late when it answers again."""
    harness = SchedulerHarness(targets=1)
    harness.add_job()
    harness.start()
    client = SilentTarget(harness)
    harness.scheduler_state.targets['t0'].lease_end_s = trio.current_time() + 6
    with trio.move_on_after(5):
        await make_link(harness, client).run()
    gaps_s = [later - earlier for earlier, later in itertools.pairwise(client.asked_s)]
    assert max(gaps_s) < 0.5


@pytest.mark.parametrize(
    ('lasting', 'at_work', 'wait_ms'), [(1, 0, 500), (1, 1, 1000), (0, 0, 1000)]
)
def test_wait_for_report(lasting: int, at_work: int, wait_ms: int) -> None:
    """Guards against lasting tasks that are seen at work a second late, which holds up upkeep."""
    harness = SchedulerHarness(targets=1)
    harness.add_job()
    (order,) = harness.start()
    run = harness.scheduler_state.targets['t0'].runs[order.key]
    run.lasting, run.at_work = bool(lasting), bool(at_work)
    link = make_link(harness, FakeTarget(harness))
    link._clock_offset_ms = 0
    assert link._choose_wait_ms() == wait_ms
