"""Removes jobs from the store and from the board some time after they have ended."""

import logging
from collections.abc import Iterator

import trio

from comfreywind.clock import Clock
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    TABLE_INTAKE,
    TABLE_PROGRESS,
    find_intake_part,
    find_progress_part,
)
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.board import Board
from comfreywind.scheduling.job_record import JobRecord

SWEEP_INTERVAL_S = 5.0
# A caller may ask for the state until the end of the period, and its call may be slow.
RETENTION_MARGIN_S = 30.0
# A transaction holds at most 100 entries, and each job needs five.
JOBS_PER_COMMIT = 20
# Leaves a part to callers between two of its transactions.
COMMIT_PAUSE_S = 0.05

log = logging.getLogger('comfreywind.retention')


class JobRetention:
    """Keeps the time at which this holder first saw each job ended.

    A job is removed `retention_s` after that, with its progress and the mark of its cancelling in
    one transaction, so that a later holder sees either all of them or none.
    """

    def __init__(
        self, rows: RowsClient, board: Board, retention_s: float, clock: Clock, permit: Permit
    ) -> None:
        """Use the store's client; nothing is removed unless `permit` is True at that moment."""
        self._rows = rows
        self._board = board
        self._retention_s = retention_s
        self._clock = clock
        self._permit = permit
        self._versions: dict[str, int] = {}
        self._ended_s: dict[str, float] = {}

    def note_accepted(self, job_id: str, version: int) -> None:
        """Note the version of an accepted job; another one means that the id is used anew."""
        record = self._board.jobs.get(job_id)
        known = self._versions.get(job_id, version)
        if record is not None and version > known and not record.open:
            self._drop(job_id)
        self._versions[job_id] = version

    def note_removed(self, job_id: str) -> None:
        """Note that the store no longer has the job."""
        record = self._board.jobs.get(job_id)
        if record is not None and not record.open:
            self._drop(job_id)

    async def run(self) -> None:
        """Remove what is due, for ever."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            try:
                await self.sweep()
            except StoreUnavailableError as error:
                log.info('ended jobs are removed later: %s', error)

    async def sweep(self) -> None:
        """Remove the jobs that are due; raise StoreUnavailableError when the store gives no answer."""
        for part, records in self._list_batches():
            try:
                await self._remove(part, records)
            except RowsChangedError as error:
                for row in error.rows:
                    self._note_changed(row)
            await trio.sleep(COMMIT_PAUSE_S)

    def _list_batches(self) -> Iterator[tuple[str, list[JobRecord]]]:
        now_s = self._clock.read_monotonic_s()
        by_part: dict[str, list[JobRecord]] = {}
        for job_id, record in self._board.jobs.items():
            if self._is_due(job_id, record, now_s):
                by_part.setdefault(find_intake_part(job_id), []).append(record)
        for part, records in by_part.items():
            for start in range(0, len(records), JOBS_PER_COMMIT):
                yield part, records[start : start + JOBS_PER_COMMIT]

    def _is_due(self, job_id: str, record: JobRecord, now_s: float) -> bool:
        if record.open or record.runs or job_id in self._board.changed_jobs:
            self._ended_s.pop(job_id, None)
            return False
        ended_s = self._ended_s.setdefault(job_id, now_s)
        return job_id in self._versions and now_s - ended_s >= self._retention_s

    async def _remove(self, part: str, records: list[JobRecord]) -> None:
        changes: list[RowChange] = []
        for record in records:
            job_id = record.job.job_id
            other = find_progress_part(job_id)
            version = self._versions[job_id]
            mark = f'{job_id}{CANCEL_SUFFIX}'
            changes += [
                RowChange(TABLE_INTAKE, job_id, None, version),
                RowChange(TABLE_PROGRESS, job_id, None, record.progress_version, part=other),
                RowChange(TABLE_INTAKE, mark, None, part=other),
            ]
        await self._rows.commit(part, changes, self._permit)
        for record in records:
            self._drop(record.job.job_id)
        log.info('%d ended jobs removed', len(records))

    def _note_changed(self, row: StoredRow) -> None:
        """Take in a row that isn't as expected, so that the next sweep can go on."""
        record = self._board.jobs.get(row.key)
        if record is None:
            return
        if row.table == TABLE_PROGRESS:
            record.progress_version = row.version
        elif row.payload is None:
            # A removal of this holder whose answer was lost.
            self._drop(row.key)

    def _drop(self, job_id: str) -> None:
        self._board.drop_job(job_id)
        self._versions.pop(job_id, None)
        self._ended_s.pop(job_id, None)
