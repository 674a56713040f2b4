"""Writes the progress of jobs to the store, before ends are acknowledged to targets."""

import logging

import trio

from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.jobs.job_codec import decode_progress, encode_progress
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import TABLE_PROGRESS, find_progress_part
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.job_record import JobRecord

# Ends that come within this time share a transaction of each part.
GATHER_S = 0.04
RETRY_S = 0.15
# A transaction holds at most 100 entries, and each row needs two: its condition and its value.
ROWS_PER_COMMIT = 50

log = logging.getLogger('comfreywind.journal')


class ProgressJournal:
    """Stores what the board marks as changed."""

    def __init__(self, rows: RowsClient, scheduler_state: SchedulerState) -> None:
        """Use the store's client and the board of the term."""
        self._rows = rows
        self._state = scheduler_state
        self._wake = trio.Event()
        self._stored = trio.Event()

    def wake(self) -> None:
        """Have the changes stored soon."""
        self._wake.set()

    async def wait_stored(self, limit_s: float) -> None:
        """Return after the next successful write, or after the limit."""
        with trio.move_on_after(limit_s):
            await self._stored.wait()

    def merge_row(self, record: JobRecord, row: StoredRow) -> None:
        """Join a newer row of a job; one that can't be read is overwritten with the next change."""
        if row.payload is None:
            return
        record.progress_version = row.version
        try:
            stored = decode_progress(row.payload)
        except RowFormatError as error:
            log.warning('progress of job %s is written anew: %s', row.key, error)
            self._state.mark_changed(record)
            return
        self._state.merge_progress(record, stored)
        if stored.state is JobState.CANCELLED:
            record.progress.state = JobState.CANCELLED

    async def run(self) -> None:
        """Store changes as they come, for ever."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(GATHER_S)
            if not await self.flush():
                self._wake.set()
                await trio.sleep(RETRY_S)

    async def flush(self) -> bool:
        """Store all changes; return False when some have to be tried again."""
        applied = {
            target_id: target.applied_number for target_id, target in self._state.targets.items()
        }
        changed = self._state.pop_changed_jobs()
        try:
            stored = await self._store_parts(changed)
        except Exception:
            self._mark_again(changed)
            raise
        if stored:
            self._acknowledge(applied)
        return stored

    async def _store_parts(self, changed: list[JobRecord]) -> bool:
        by_part: dict[str, list[JobRecord]] = {}
        for record in changed:
            by_part.setdefault(find_progress_part(record.job.job_id), []).append(record)
        stored: list[bool] = []

        async def store_part(part: str, records: list[JobRecord]) -> None:
            for start in range(0, len(records), ROWS_PER_COMMIT):
                stored.append(await self._store(part, records[start : start + ROWS_PER_COMMIT]))

        async with trio.open_nursery() as nursery:
            for part, records in by_part.items():
                nursery.start_soon(store_part, part, records)
        return all(stored)

    async def _store(self, part: str, records: list[JobRecord]) -> bool:
        changes = [
            RowChange(
                TABLE_PROGRESS,
                record.job.job_id,
                encode_progress(record.progress),
                record.progress_version,
            )
            for record in records
        ]
        try:
            version = await self._rows.commit(part, changes)
        except RowsChangedError as error:
            self._merge(error.rows)
            self._mark_again(records)
            return False
        except StoreUnavailableError as error:
            log.info('progress of %d jobs is not stored: %s', len(records), error)
            self._mark_again(records)
            return False
        for record in records:
            record.progress_version = version
        return True

    def _merge(self, rows: tuple[StoredRow, ...]) -> None:
        """Join rows that changed: a caller's cancelling, or an earlier write of this journal."""
        for row in rows:
            record = self._state.jobs.get(row.key)
            if record is not None:
                self.merge_row(record, row)

    def _mark_again(self, records: list[JobRecord]) -> None:
        for record in records:
            self._state.mark_changed(record)

    def _acknowledge(self, applied: dict[str, int]) -> None:
        for target_id, number in applied.items():
            target = self._state.targets.get(target_id)
            if target is not None and target.applied_number >= number:
                target.stored_number = max(target.stored_number, number)
        self._stored.set()
        self._stored = trio.Event()
