"""Progress that would be larger than a row of the store, and rows that the store rejects.

A job of 4,950 tasks with checkpoints grew a row of progress that the store rejected for ever. No end of
any job was acknowledged any more, and other jobs did not go on (review, case 8).
"""

from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any, cast

import pytest

from comfreywind.errors import StoreRejectedError
from comfreywind.http.client import HttpReply
from comfreywind.jobs.job_codec import decode_progress, encode_progress
from comfreywind.jobs.job_limits import TASK_LIMIT
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.progress_row import DEFAULT_ROW_LIMIT_BYTES, make_progress_row
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.run_report import RunOutcome
from comfreywind.platform.rows_client import _read_document
from comfreywind.platform.stored_row import RowChange
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.unstored_ends import UnstoredEnds
from tests.helpers.scheduler_harness import SchedulerHarness, make_job

SHAPES = {
    'one step': [(0, 0, number) for number in range(TASK_LIMIT)],
    'occurrences': [(occurrence, 0, 0) for occurrence in range(TASK_LIMIT)],
    'steps': [(0, index // 20, index % 20) for index in range(TASK_LIMIT)],
}
JOB_IDS = tuple(f'{number:016x}' for number in range(8))


def make_progress(shape: str, failures: int, checkpoint_bytes: int) -> Progress:
    """Return progress in which half of the tasks are done, and all that can happen did to others."""
    random = Random(f'{shape} {failures} {checkpoint_bytes}')
    progress = Progress(JobState.RUNNING)
    for task in SHAPES[shape]:
        if random.random() < 0.5:
            progress.done.add(task)
            continue
        ids = {random.randrange(5) * 1_000_000 + random.randrange(100) for _ in range(failures)}
        progress.failures.update({task: ids} if ids else {})
        progress.checkpoints[task] = random.randbytes(checkpoint_bytes // 2).hex()
        progress.crashes[task] = random.randrange(1, 4)
    return progress


@pytest.mark.parametrize('checkpoint_bytes', [2, 16, 400])
@pytest.mark.parametrize('failures', [0, 2, 30])
@pytest.mark.parametrize('shape', SHAPES)
def test_row_fits(shape: str, failures: int, checkpoint_bytes: int) -> None:
    """The row fits whatever happens to the tasks; state and done tasks are never left out."""
    progress = make_progress(shape, failures, checkpoint_bytes)
    row = make_progress_row(progress)
    assert len(row.payload) <= DEFAULT_ROW_LIMIT_BYTES
    stored = decode_progress(row.payload)
    assert (stored.state, stored.done) == (progress.state, progress.done)
    assert stored.checkpoints.items() <= progress.checkpoints.items()
    if failures <= 2:
        assert stored.failures == progress.failures
        assert stored.crashes == progress.crashes
    assert bool(row.omitted) is (stored != progress)


def test_checkpoints_are_kept_as_far_as_they_fit() -> None:
    """Work must not be repeated for all tasks because the checkpoints of some don't fit."""
    row = make_progress_row(make_progress('one step', 0, 60))
    assert row.omitted.endswith('checkpoints')
    assert len(row.payload) > DEFAULT_ROW_LIMIT_BYTES * 3 / 4


def test_earlier_versions_read_rows_that_fit() -> None:
    """A row that an earlier version could have written keeps the format that it reads."""
    progress = Progress(JobState.RUNNING, done=set(SHAPES['one step']))
    assert make_progress_row(progress).payload == encode_progress(progress)


@pytest.mark.parametrize('cut', [1, 30])
def test_damaged_compact_row(cut: int) -> None:
    """A compact row that can't be read costs its own job only, as any other."""
    payload = make_progress_row(make_progress('one step', 2, 16)).payload
    with pytest.raises(RowFormatError):
        decode_progress(payload[:3] + payload[3 + cut :])


def test_end_that_is_not_stored_holds_back_later_ones() -> None:
    """No end is acknowledged that the store does not know; those before it are."""
    ends = UnstoredEnds()
    for number, job_id in enumerate('abab', start=1):
        ends.add(number, job_id)
    assert ends.settle(4, frozenset('b')) == 1
    assert ends.settle(3, frozenset()) == 3
    assert ends.settle(4, frozenset('a')) == 4


@pytest.mark.parametrize('status', [400, 413])
def test_rejection_is_told_from_an_outage(status: int) -> None:
    """A transaction beyond a limit must not be repeated as one that met an outage."""
    with pytest.raises(StoreRejectedError):
        _read_document(HttpReply(status, [], b'{"error": "a value is larger than row_bytes"}'))


class RejectingRows:
    """A store that rejects each transaction with the row of one job."""

    def __init__(self, rejected: str) -> None:
        """Reject the row of that job."""
        self.rejected = rejected
        self.stored: list[str] = []

    async def commit(self, part: str, changes: Sequence[RowChange], permit: Any = None) -> int:
        """Store all rows, or none."""
        if any(change.key == self.rejected for change in changes):
            raise StoreRejectedError('a value is larger than row_bytes')
        self.stored.extend(change.key for change in changes)
        return 2


async def test_rejected_row_costs_its_own_job_only() -> None:
    """Stores the jobs beside one that is rejected, and acknowledges ends up to its first."""
    harness = SchedulerHarness(2, cpu=8000)
    for job_id in JOB_IDS:
        harness.add_job(make_job(job_id=job_id))
    orders = {order.key.job_id: order for order in harness.start()}
    rows = RejectingRows(JOB_IDS[5])
    journal = ProgressJournal(cast('Any', rows), harness.scheduler_state)
    for job_id in JOB_IDS:
        order = orders[job_id]
        harness.end(order, RunOutcome.DONE)
    assert not await journal.flush()
    assert set(rows.stored) == {job_id for job_id in JOB_IDS if job_id != rows.rejected}
    record = harness.scheduler_state.targets[orders[rows.rejected].target_id]
    before = [
        job_id for job_id in JOB_IDS[:5] if orders[job_id].target_id == record.entry.target_id
    ]
    assert record.applied_number > record.stored_number == len(before)
    rows.rejected = ''
    journal._pace.forget_due(float('inf'))
    assert await journal.flush()
    assert record.stored_number == record.applied_number


async def test_compact_rows_are_written_less_often() -> None:
    """The holder must not spend its time on the row of one large job."""
    harness = SchedulerHarness()
    job = harness.add_job(make_job(replace(make_job().steps[0], task_count=TASK_LIMIT)))
    record = harness.scheduler_state.jobs[job.job_id]
    record.progress = make_progress('one step', 0, 16)
    rows = RejectingRows('')
    journal = ProgressJournal(cast('Any', rows), harness.scheduler_state)
    for expected in (True, False):
        harness.scheduler_state.mark_changed(record)
        assert await journal.flush() is expected
    assert len(rows.stored) == 1
    assert record in harness.scheduler_state.pop_changed_jobs()
