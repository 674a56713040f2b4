"""Jobs that ended long ago are removed; none is lost, run again or reported with a wrong state.

The rows of a job are removed one partition after the other, and a tombstone stands for the job
meanwhile. Without the removal, the store, the holder's memory and the time of a takeover grow with
every job that was ever accepted.
"""

import base64
from typing import Any

import pytest
import trio

from bench.job_fleet import run_job_fleet
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.intake.job_store import JobStore
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job_codec import decode_intake_row, encode_job, encode_progress
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    TABLE_INTAKE,
    TABLE_PROGRESS,
    compute_intake_partition,
    compute_progress_partition,
)
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling import holder, job_retention
from comfreywind.scheduling.job_retention import JobRetention
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.settings.node import JobTimings
from comfreywind.stand_ins.jobs.row_store import RowStore
from tests.helpers.manual_clock import ManualClock
from tests.helpers.scheduler_harness import JOB_ID, QUEUE, TEAM, make_job

RETENTION_S = 100
OTHER_ID = '00000000000000a2'


class MemoryRows:
    """The store's client without a network.

    `lost` counts down with each commit, and the one that makes it 0 takes effect but gets
    no answer.
    """

    def __init__(self) -> None:
        """Start with an empty store."""
        self.store = RowStore()
        self.lost = 0

    async def commit(self, part: str, changes: list[RowChange], permit: Any = None) -> int:
        """Apply the changes."""
        if permit is not None and not permit():
            raise StoreUnavailableError('not permitted')
        names = [(change.table, part, change.key) for change in changes]
        pairs = list(zip(names, changes, strict=True))
        expected = [
            (name, change.expected_version)
            for name, change in pairs
            if change.expected_version is not None
        ]
        values = [
            (*name, None if change.payload is None else base64.b64encode(change.payload).decode())
            for name, change in pairs
        ]
        if not self.store.apply(expected, values):
            raise RowsChangedError(tuple(map(self.read, (name for name, _ in expected))))
        self.lost -= 1
        if self.lost == 0:
            raise StoreUnavailableError('no answer')
        return self.store.version

    async def read_row(self, table: str, part: str, key: str) -> StoredRow:
        """Return a row."""
        return self.read((table, part, key))

    def read(self, name: tuple[str, str, str]) -> StoredRow:
        """Return a row."""
        stored = self.store.rows.get(name)
        if stored is None or stored.value is None:
            return StoredRow(*name, None, 0)
        return StoredRow(*name, base64.b64decode(stored.value), stored.version)

    def count(self) -> int:
        """Return the number of rows with a value."""
        return sum(stored.value is not None for stored in self.store.rows.values())


class RetentionHarness:
    """A holder's job retention with a store of one job, which is in the given state."""

    def __init__(self, state: JobState = JobState.COMPLETE) -> None:
        """Start with an empty store and no holder."""
        self.clock = ManualClock()
        self.client = MemoryRows()
        self.rows: Any = self.client
        self.permitted = True
        self.state = state

    async def take_over(self) -> None:
        """Let a new holder read the rows of the job."""
        self.scheduler_state = SchedulerState(1)
        self.retention = JobRetention(
            self.rows, self.scheduler_state, RETENTION_S, self.clock, lambda: self.permitted
        )
        accepted = self.client.read((TABLE_INTAKE, compute_intake_partition(JOB_ID), JOB_ID))
        progress = self.client.read((TABLE_PROGRESS, compute_progress_partition(JOB_ID), JOB_ID))
        if accepted.payload is None:
            return
        if isinstance(decode_intake_row(accepted.payload), EndedJob):
            self.retention.record_tombstone(JOB_ID, accepted.version, progress.version)
            return
        self.retention.record_accepted(JOB_ID, accepted.version)
        self.scheduler_state.add_job(
            make_job(), Progress(self.state), progress.version, reconciled=True
        )

    async def store_job(self) -> None:
        """Store the job, its progress and its cancel marker."""
        intake, other = compute_intake_partition(JOB_ID), compute_progress_partition(JOB_ID)
        await self.rows.commit(intake, [RowChange(TABLE_INTAKE, JOB_ID, encode_job(make_job()))])
        progress = encode_progress(Progress(self.state))
        mark = RowChange(TABLE_INTAKE, f'{JOB_ID}{CANCEL_SUFFIX}', b'x')
        await self.rows.commit(other, [RowChange(TABLE_PROGRESS, JOB_ID, progress), mark])

    async def sweep(self, after_s: float = 0) -> None:
        """Advance the clock, then sweep as the holder does."""
        self.clock.advance(after_s)
        try:
            await self.retention.sweep()
        except StoreUnavailableError:
            return


async def make_harness(state: JobState = JobState.COMPLETE) -> RetentionHarness:
    """Return a harness whose holder has seen the job in one sweep."""
    harness = RetentionHarness(state)
    await harness.store_job()
    await harness.take_over()
    await harness.sweep()
    return harness


async def test_removed_in_time(autojump_clock: trio.testing.MockClock) -> None:
    """A job is removed after the retention time (`status_s` of the users), not earlier or never."""
    harness = await make_harness()
    await harness.sweep(RETENTION_S - 1)
    assert (harness.client.count(), len(harness.scheduler_state.jobs)) == (3, 1)
    await harness.sweep(1)
    assert (harness.client.count(), len(harness.scheduler_state.jobs)) == (0, 0)


@pytest.mark.parametrize('state', [JobState.QUEUED, JobState.RUNNING])
async def test_open_jobs_stay(state: JobState, autojump_clock: trio.testing.MockClock) -> None:
    """A job that has not ended is never removed, however old it is."""
    harness = await make_harness(state)
    await harness.sweep(10 * RETENTION_S)
    assert (harness.client.count(), len(harness.scheduler_state.jobs)) == (3, 1)


async def test_former_holder(autojump_clock: trio.testing.MockClock) -> None:
    """A holder whose term has ended removes nothing."""
    harness = await make_harness()
    harness.permitted = False
    await harness.sweep(2 * RETENTION_S)
    assert harness.client.count() == 3


async def test_time_counts_from_the_takeover(autojump_clock: trio.testing.MockClock) -> None:
    """The retention restarts at a takeover: the new holder does not know when jobs have ended."""
    harness = await make_harness()
    harness.clock.advance(RETENTION_S - 1)
    await harness.take_over()
    await harness.sweep()
    await harness.sweep(RETENTION_S - 1)
    assert harness.client.count() == 3


async def test_progress_written_by_a_caller(autojump_clock: trio.testing.MockClock) -> None:
    """A cancelled job is removed although a caller's write gave its row an unknown version."""
    harness = await make_harness(JobState.CANCELLED)
    harness.scheduler_state.jobs[JOB_ID].progress_version = 0
    await harness.sweep(RETENTION_S)
    await harness.sweep()
    assert (harness.client.count(), len(harness.scheduler_state.jobs)) == (0, 0)


@pytest.mark.parametrize('taken_over', [False, True])
@pytest.mark.parametrize('lost', [1, 2, 3])
async def test_lost_answer(
    lost: int, taken_over: bool, autojump_clock: trio.testing.MockClock
) -> None:
    """A removal continues after a lost answer, and the job is not loaded again by a new holder."""
    harness = await make_harness()
    harness.client.lost = lost
    await harness.sweep(RETENTION_S)
    assert await JobStore(harness.rows, 65_536, RETENTION_S, harness.clock).read_state(
        JOB_ID, TEAM, QUEUE
    ) in {JobState.COMPLETE, None}
    if taken_over:
        await harness.take_over()
        assert not harness.scheduler_state.jobs
    await harness.sweep()
    await harness.sweep()
    assert (harness.client.count(), len(harness.scheduler_state.jobs)) == (0, 0)


@pytest.mark.parametrize('told', [False, True])
async def test_id_reused_after_a_lost_answer(
    told: bool, autojump_clock: trio.testing.MockClock
) -> None:
    """A new job under the id of a removed one is neither removed nor left without a start."""
    harness = await make_harness()
    harness.client.lost = 3
    await harness.sweep(RETENTION_S)
    store = JobStore(harness.rows, 65_536, RETENTION_S, harness.clock)
    assert await store.accept(make_job(), lambda: True)
    version = harness.client.store.version
    change = RowChange(TABLE_PROGRESS, JOB_ID, encode_progress(Progress(JobState.RUNNING)), 0)
    await harness.rows.commit(compute_progress_partition(JOB_ID), [change])
    for _ in range(2):
        if told:
            harness.retention.record_accepted(JOB_ID, version)
            harness.scheduler_state.add_job(make_job(), Progress(), 0, reconciled=True)
        await harness.sweep(2 * RETENTION_S)
    assert harness.client.count() == 2
    assert (JOB_ID in harness.scheduler_state.open_jobs) is told


async def test_id_reused_during_a_takeover(autojump_clock: trio.testing.MockClock) -> None:
    """A holder must not clear the progress of a new job that reuses the id of a removed one."""
    harness = await make_harness()
    harness.client.lost = 1
    await harness.sweep(RETENTION_S)
    former = harness.retention
    await harness.take_over()
    for _ in range(2):
        await former.sweep()
    store = JobStore(harness.rows, 65_536, RETENTION_S, harness.clock)
    assert await store.accept(make_job(), lambda: True)
    change = RowChange(TABLE_PROGRESS, JOB_ID, encode_progress(Progress(JobState.RUNNING)), 0)
    await harness.rows.commit(compute_progress_partition(JOB_ID), [change])
    for _ in range(2):
        await harness.sweep()
    assert harness.client.count() == 2


@pytest.mark.parametrize('state', [JobState.COMPLETE, JobState.QUEUED])
async def test_nodes_forget_in_time(
    state: JobState, autojump_clock: trio.testing.MockClock
) -> None:
    """A node must not report the remembered state of a job that has been removed."""
    harness = await make_harness(state)
    store = JobStore(harness.rows, 65_536, RETENTION_S, harness.clock)
    assert await store.read_state(JOB_ID, TEAM, QUEUE) is state
    harness.scheduler_state.jobs[JOB_ID].progress.state = JobState.COMPLETE
    harness.scheduler_state.open_jobs.clear()
    await harness.sweep()
    await harness.sweep(RETENTION_S)
    assert harness.client.count() == 0
    assert await store.read_state(JOB_ID, TEAM, QUEUE) is None
    assert await store.cancel(JOB_ID, TEAM, QUEUE) is None


class RemovingRows(MemoryRows):
    """A store that removes the job between the reads of its accepted row and of its progress."""

    async def read_row(self, table: str, part: str, key: str) -> StoredRow:
        """Return a row."""
        if table == TABLE_PROGRESS:
            await trio.sleep(1)
        row = self.read((table, part, key))
        if table == TABLE_INTAKE:
            self.store.rows.clear()
        return row


async def test_removed_between_two_readings(autojump_clock: trio.testing.MockClock) -> None:
    """A job that is removed between two reads must not be reported as queued."""
    harness = RetentionHarness()
    harness.rows = harness.client = RemovingRows()
    await harness.store_job()
    store = JobStore(harness.rows, 65_536, RETENTION_S, harness.clock)
    assert await store.read_state(JOB_ID, TEAM, QUEUE) is None


async def test_fleet_forgets_and_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fleet removes the rows of a job, answers 410 for it, and accepts its id again."""
    monkeypatch.setattr(job_retention, 'SWEEP_INTERVAL_S', 0.1)
    monkeypatch.setattr(holder, 'RETENTION_MARGIN_S', 0.2)
    timings = JobTimings(status_retention_s=0.6)
    async with run_job_fleet(node_count=2, target_count=1, timings=timings) as fleet:
        for _ in range(2):
            assert await fleet.submit(0, JOB_ID, 'work_s=0.05') == 200
            await fleet.wait_for_state(1, JOB_ID, 'complete')
            await fleet.wait_for_state(0, JOB_ID, '410')
        assert await fleet.submit(0, OTHER_ID, 'work_s=30') == 200
        await trio.sleep(1.5)
        assert await fleet.read_state(0, OTHER_ID) == 'in_progress'
        tables = (TABLE_INTAKE, TABLE_PROGRESS)
        kept = {
            name[2]
            for name, stored in fleet.store.store.rows.items()
            if name[0] in tables and stored.value is not None
        }
        assert kept == {OTHER_ID}
