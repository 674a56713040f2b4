"""Writes the progress of jobs to the store, before ends of runs are acknowledged to targets."""

import logging

import trio

from comfreywind.errors import RowsChangedError, StoreRejectedError, StoreUnavailableError
from comfreywind.jobs.job_codec import decode_progress
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress_row import DEFAULT_ROW_LIMIT_BYTES, make_progress_row
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import TABLE_PROGRESS, compute_progress_partition
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.write_pace import (
    COMPACT_PAUSE_S,
    REDUCED_PAUSE_S,
    REJECTED_PAUSE_S,
    WritePace,
)

# Changes that come within this time are stored with one transaction for each partition.
BATCH_WINDOW_S = 0.04
RETRY_S = 0.15
# A transaction has at most 100 entries, and each row needs two: its condition and its value.
ROWS_PER_COMMIT = 50

log = logging.getLogger('comfreywind.journal')


class ProgressJournal:
    """Stores the progress of the jobs that the scheduler state marks as changed."""

    def __init__(
        self,
        rows: RowsClient,
        scheduler_state: SchedulerState,
        row_limit_bytes: int = DEFAULT_ROW_LIMIT_BYTES,
    ) -> None:
        """Use the store's client, whose rows have `row_limit_bytes` at most, and the term's state."""
        self._rows = rows
        self._row_limit_bytes = row_limit_bytes
        self._pace = WritePace()
        self._state = scheduler_state
        self._wake = trio.Event()
        self._stored = trio.Event()

    def wake(self) -> None:
        """Have the changed jobs stored soon."""
        self._wake.set()

    async def wait_until_stored(self, limit_s: float) -> None:
        """Return after the next successful write, or after `limit_s` at the latest."""
        with trio.move_on_after(limit_s):
            await self._stored.wait()

    def merge_row(self, record: JobRecord, row: StoredRow) -> None:
        """Merge a newer progress row into a job; an unreadable row is overwritten."""
        if row.payload is None:
            return
        record.progress_version = row.version
        try:
            stored = decode_progress(row.payload)
        except RowFormatError as error:
            log.warning('progress row of job %s is unreadable, overwriting it: %s', row.key, error)
            self._state.mark_changed(record)
            return
        self._state.merge_progress(record, stored)
        if stored.state is JobState.CANCELLED:
            record.progress.state = JobState.CANCELLED

    async def run(self) -> None:
        """Store changes as they come, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(BATCH_WINDOW_S)
            if not await self.flush():
                self._wake.set()
                await trio.sleep(RETRY_S)

    async def flush(self) -> bool:
        """Store all changed jobs that are due; return False when some have to be stored later."""
        applied_numbers = {
            target_id: (target.incarnation_start_ms, target.applied_number)
            for target_id, target in self._state.targets.items()
        }
        changed = self._state.pop_changed_jobs()
        try:
            unstored = await self._store_partitions(changed)
        except Exception:
            self._mark_changed(changed)
            raise
        self._mark_changed(unstored)
        if len(unstored) < len(changed) or not unstored:
            self._mark_ends_stored(
                applied_numbers, frozenset(record.job.job_id for record in unstored)
            )
        return not unstored

    async def _store_partitions(self, changed: list[JobRecord]) -> list[JobRecord]:
        """Store the jobs and return those that could not be stored, or are not due."""
        unstored: list[JobRecord] = []
        by_partition: dict[str, list[JobRecord]] = {}
        now_s = trio.current_time()
        self._pace.forget_due(now_s)
        for record in changed:
            job_id = record.job.job_id
            if self._pace.is_due(job_id, now_s):
                by_partition.setdefault(compute_progress_partition(job_id), []).append(record)
            else:
                unstored.append(record)

        async def store_partition(partition: str, records: list[JobRecord]) -> None:
            for start in range(0, len(records), ROWS_PER_COMMIT):
                unstored.extend(
                    await self._store_batch(partition, records[start : start + ROWS_PER_COMMIT])
                )

        async with trio.open_nursery() as nursery:
            for partition, records in by_partition.items():
                nursery.start_soon(store_partition, partition, records)
        return unstored

    async def _store_batch(self, partition: str, records: list[JobRecord]) -> list[JobRecord]:
        """Store the jobs with one transaction, and return those that could not be stored."""
        changes = [self._make_change(record) for record in records]
        try:
            version = await self._rows.commit(partition, changes)
        except RowsChangedError as error:
            self._merge_rows(error.rows)
            return records
        except StoreRejectedError as error:
            return await self._store_parts(partition, records, error)
        except StoreUnavailableError as error:
            log.info('progress of %d jobs not stored, trying again: %s', len(records), error)
            return records
        for record in records:
            record.progress_version = version
        return []

    async def _store_parts(
        self, partition: str, records: list[JobRecord], error: StoreRejectedError
    ) -> list[JobRecord]:
        """Store the halves of a rejected transaction, so that one row holds back its own job only."""
        if len(records) > 1:
            middle = len(records) // 2
            first = await self._store_batch(partition, records[:middle])
            return [*first, *await self._store_batch(partition, records[middle:])]
        job_id = records[0].job.job_id
        log.error("job %s: its progress can't be stored, its ends are kept: %s", job_id, error)
        self._pace.delay(job_id, trio.current_time() + REJECTED_PAUSE_S)
        return records

    def _make_change(self, record: JobRecord) -> RowChange:
        job_id = record.job.job_id
        row = make_progress_row(record.progress, self._row_limit_bytes)
        if row.compact:
            pause_s = REDUCED_PAUSE_S if row.omitted else COMPACT_PAUSE_S
            self._pace.delay(job_id, trio.current_time() + pause_s)
        if row.omitted:
            log.warning('job %s: left out of its row of progress: %s', job_id, row.omitted)
        return RowChange(TABLE_PROGRESS, job_id, row.payload, record.progress_version)

    def _merge_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Merge rows that have changed: by a caller's cancellation or a write without an answer."""
        for row in rows:
            record = self._state.jobs.get(row.key)
            if record is not None:
                self.merge_row(record, row)

    def _mark_changed(self, records: list[JobRecord]) -> None:
        for record in records:
            self._state.mark_changed(record)

    def _mark_ends_stored(
        self, applied_numbers: dict[str, tuple[int, int]], unstored_jobs: frozenset[str]
    ) -> None:
        """Mark the ends as stored that each incarnation had reported before the write.

        Those from the first end of a job that was not stored are left for a later write.
        A target that has restarted during the write numbers its ends anew.
        """
        for target_id, (incarnation_start_ms, number) in applied_numbers.items():
            target = self._state.targets.get(target_id)
            if target is not None and target.incarnation_start_ms == incarnation_start_ms:
                stored_number = target.unstored_ends.settle(number, unstored_jobs)
                target.stored_number = max(target.stored_number, stored_number)
        self._stored.set()
        self._stored = trio.Event()
