"""The refusal of jobs for scarcity at a node, with the figures of a holder and a fake store."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, cast

import pytest
import trio

from comfreywind.errors import StoreUnavailableError
from comfreywind.intake.job_store import JobStore
from comfreywind.intake.recent_refusals import ENTRY_LIMIT, RecentRefusals, RefusedJob
from comfreywind.intake.scarcity_gate import SETTLE_S, ScarcityGate
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.resources import Resources
from comfreywind.metrics import NoMetrics
from comfreywind.platform.stored_row import StoredRow
from comfreywind.scheduling.queue_wait import PublishedWaits, QueueWait
from tests.helpers.scheduler_harness import JOB_ID, QUEUE, STEP, TEAM, make_job
from tests.helpers.trio_clock import TrioClock
from tests.test_peer_relay import FakeRules, post_job

CAPACITY = Resources(8000, 8000)
# The objective of a job of one task of 1 s is 1.6 s, so that its limit is 11.52 s.
FULL = QueueWait(30, CAPACITY, {TEAM: 30.0})
NEARLY_FULL = QueueWait(30, CAPACITY, {TEAM: 10.4})


@dataclass
class FakeKeeper:
    """A keeper of the term that has read these waits, or None while there are no recent ones."""

    waits: Mapping[str, QueueWait] | None

    def read_waits(self, rules: JobRules) -> PublishedWaits | None:
        """Return the waits, which were taken 0.5 s ago."""
        return None if self.waits is None else PublishedWaits(self.waits, 0.5)


@dataclass
class FakeRows:
    """The times at which rows of accepted jobs are written, also by other nodes."""

    reachable: bool = True
    rows: dict[str, float] = field(default_factory=dict)
    error: Exception | None = None
    read_s: float = 0.01
    reads: int = 0

    async def read_row(self, table: str, part: str, key: str) -> StoredRow:
        """Return a row from the time on at which it was written."""
        self.reads += 1
        await trio.sleep(self.read_s)
        if self.error is not None:
            raise self.error
        written = self.rows.get(key, trio.current_time() + 1) <= trio.current_time()
        return StoredRow(table, part, key, b'a job' if written else None, int(written))

    async def commit(self, part: str, changes: Any, permit: Any = None) -> int:
        """Write a row."""
        self.rows[changes[0].key] = trio.current_time()
        return 1


class Intake:
    """A node's gate and store."""

    def __init__(self, waits: QueueWait | None) -> None:
        """Start with the waits of the one queue."""
        self.rows = FakeRows()
        self.keeper = FakeKeeper(None if waits is None else {QUEUE.name: waits})
        self.store = JobStore(cast('Any', self.rows), 65_536, 120, TrioClock())
        keeper, rules = cast('Any', self.keeper), cast('Any', FakeRules(fresh=True))
        metrics = NoMetrics()
        self.gate = ScarcityGate(keeper, rules, self.store, TrioClock(), metrics, Random(1))

    async def submit(self, number: int = 1, **fields: object) -> bool:
        """Submit a job of the team; return whether it is accepted."""
        job = make_job(job_id=f'{number:016x}', **fields)
        if await self.gate.check(job) is not None:
            return False
        self.gate.record_accepted(job)
        return True


async def test_refusal_is_true(autojump_clock: trio.testing.MockClock) -> None:
    """A refused job must not be stored, and its caller must learn when to come back."""
    intake = Intake(FULL)
    reply = await post_job(intake.store, None, gate=intake.gate)
    assert (reply['status'], intake.rows.rows) == (429, {})
    assert 20 <= int(dict(reply['headers'])[b'retry-after']) <= 30
    intake.keeper.waits = {}
    assert (await post_job(intake.store, None, gate=intake.gate))['status'] == 200


@pytest.mark.parametrize('written_s', [-1.0, 0.0, SETTLE_S - 0.01])
async def test_id_accepted_elsewhere_a_moment_before(
    autojump_clock: trio.testing.MockClock, written_s: float
) -> None:
    """A job that another node stores at this moment must not be refused: it runs."""
    intake = Intake(FULL)
    intake.rows.rows[JOB_ID] = trio.current_time() + written_s
    assert await intake.gate.check(make_job()) is None


async def test_store_in_doubt(autojump_clock: trio.testing.MockClock) -> None:
    """Without a prompt reading of its row, a job may be stored and must not be refused."""
    intake = Intake(FULL)
    intake.rows.error = StoreUnavailableError('no reply')
    assert await intake.submit()
    intake.rows.error, intake.rows.read_s = None, SETTLE_S
    assert await intake.submit()


async def test_figures_absent_or_old(autojump_clock: trio.testing.MockClock) -> None:
    """A node without figures, or with odd ones, must accept and not read the row of each job."""
    for waits in (None, QueueWait(30, CAPACITY, {'another team': 60}), cast('QueueWait', 'odd')):
        intake = Intake(waits)
        assert await intake.submit()
        assert not intake.rows.reads


@pytest.mark.parametrize(
    'fields',
    [{'steps': (replace(STEP, long_running=True),)}, {'occurrence_count': 2}],
    ids=['long-running', 'timed'],
)
async def test_jobs_that_do_not_come_in_bursts(
    autojump_clock: trio.testing.MockClock, fields: dict[str, Any]
) -> None:
    """Long-running jobs and timed occurrences must not be refused for scarcity."""
    assert await Intake(FULL).submit(**fields)


async def test_acceptances_since_the_figures(autojump_clock: trio.testing.MockClock) -> None:
    """A node must not admit a burst into capacity that was free when the figures were taken."""
    intake = Intake(NEARLY_FULL)
    accepted = [await intake.submit(number) for number in range(1, 6)]
    assert accepted == [True, False, False, False, False]
    await trio.sleep(60)
    assert await intake.submit(9), 'the next figures cover what was accepted before'


async def test_refused_before_goes_first(autojump_clock: trio.testing.MockClock) -> None:
    """A caller that returns must not be turned away again in favour of a new one of its team."""
    intake = Intake(FULL)
    assert not await intake.submit(1)
    intake.keeper.waits = {QUEUE.name: NEARLY_FULL}
    assert not await intake.submit(2), 'the work of the first one is expected back'
    assert await intake.submit(1)


def test_refusals_are_bounded() -> None:
    """Callers that never return must not fill the memory of a node, nor keep others out."""
    refusals = RecentRefusals()
    for number in range(2 * ENTRY_LIMIT):
        refusals.put(RefusedJob(str(number), 'rebuild', TEAM, CAPACITY, 10.0))
    assert sum(1 for _ in refusals.list_expected('rebuild', TEAM, 9)) == ENTRY_LIMIT
    assert not list(refusals.list_expected('rebuild', TEAM, 10))
