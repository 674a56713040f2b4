"""Removes jobs from the store and from the scheduler state some time after they have ended."""

import logging
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence

import trio

from comfreywind.clock import Clock
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job_codec import decode_intake_row, encode_tombstone
from comfreywind.jobs.job_owner import get_owner
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    TABLE_INTAKE,
    TABLE_PROGRESS,
    compute_intake_partition,
    compute_progress_partition,
)
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.removal import Removal
from comfreywind.scheduling.scheduler_state import SchedulerState

# Short beside the retention, so that the jobs of one sweep fit in a few transactions per partition.
SWEEP_INTERVAL_S = 5.0
# A caller may ask for the state until the end of the retention, and its request may be slow.
RETENTION_MARGIN_S = 30.0
# A transaction has at most 100 entries, and a job needs up to three.
JOBS_PER_COMMIT = 30
# Pause between two transactions, in which callers can write to the same partition.
COMMIT_PAUSE_S = 0.05

log = logging.getLogger('comfreywind.retention')


class JobRetention:
    """Removes a job `retention_s` after this holder first saw it ended.

    The rows of a job are in two partitions, and a transaction changes one. So the accepted row is
    replaced by a tombstone with the final state, then progress and cancel marker are removed, then
    the tombstone. Readers in between get the state from the tombstone, and a later holder continues
    the removal from there.
    """

    def __init__(
        self,
        rows: RowsClient,
        scheduler_state: SchedulerState,
        retention_s: float,
        clock: Clock,
        permit: Permit,
    ) -> None:
        """Use the store's client; nothing is changed unless `permit` is True at that moment."""
        self._rows = rows
        self._state = scheduler_state
        self._retention_s = retention_s
        self._clock = clock
        self._permit = permit
        self._versions: dict[str, int] = {}
        self._ended_s: dict[str, float] = {}
        self._removals: dict[str, Removal] = {}

    def record_accepted(self, job_id: str, version: int) -> None:
        """Record the version of an accepted row; a higher one means that the id was reused."""
        if version > self._versions.get(job_id, version):
            self._drop_job(job_id)
        self._removals.pop(job_id, None)
        self._versions[job_id] = version

    def record_tombstone(self, job_id: str, version: int, progress_version: int) -> None:
        """Record that a tombstone has replaced the job.

        `progress_version` is the last known version of the job's progress row.
        """
        record = self._state.jobs.get(job_id)
        if record is not None:
            progress_version = record.progress_version
            self._drop_job(job_id)
        self._removals.setdefault(job_id, Removal(job_id, version, progress_version))

    def record_removed(self, job_id: str) -> None:
        """Record that the store has no row of the job any more."""
        self._removals.pop(job_id, None)
        self._drop_job(job_id)

    async def run(self) -> None:
        """Sweep at intervals until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            try:
                await self.sweep()
            except StoreUnavailableError as error:
                log.info('ended jobs not removed, trying again at the next sweep: %s', error)

    async def sweep(self) -> None:
        """Remove the jobs that are due.

        Raises StoreUnavailableError when the store gives no answer.
        """
        await self._commit_in_batches(
            self._list_due(), compute_intake_partition, self._write_tombstones
        )
        to_clear = [each for each in self._removals.values() if not each.cleared]
        await self._commit_in_batches(
            [each.job_id for each in to_clear], compute_progress_partition, self._clear_progress
        )
        cleared = [each for each in self._removals.values() if each.cleared]
        await self._commit_in_batches(
            [each.job_id for each in cleared], compute_intake_partition, self._remove_tombstones
        )
        if cleared:
            log.info('%d ended jobs removed', len(cleared))

    async def _commit_in_batches(
        self,
        job_ids: Iterable[str],
        get_partition: Callable[[str], str],
        commit: Callable[[str, Sequence[str]], Awaitable[None]],
    ) -> None:
        by_partition: dict[str, list[str]] = {}
        for job_id in job_ids:
            by_partition.setdefault(get_partition(job_id), []).append(job_id)
        for partition, ids in by_partition.items():
            for start in range(0, len(ids), JOBS_PER_COMMIT):
                await commit(partition, ids[start : start + JOBS_PER_COMMIT])
                await trio.sleep(COMMIT_PAUSE_S)

    def _list_due(self) -> list[str]:
        now_s = self._clock.read_monotonic_s()
        return [
            job_id
            for job_id, record in self._state.jobs.items()
            if self._is_due(job_id, record, now_s)
        ]

    def _is_due(self, job_id: str, record: JobRecord, now_s: float) -> bool:
        if record.open or record.runs or job_id in self._state.changed_jobs:
            self._ended_s.pop(job_id, None)
            return False
        ended_s = self._ended_s.setdefault(job_id, now_s)
        return job_id in self._versions and now_s - ended_s >= self._retention_s

    async def _write_tombstones(self, partition: str, job_ids: Sequence[str]) -> None:
        """Replace the accepted rows of jobs by tombstones."""
        changes: list[RowChange] = []
        jobs = self._state.jobs
        records = [jobs[each] for each in job_ids if each in jobs and each in self._versions]
        for record in records:
            ended = EndedJob(get_owner(record.job), record.progress.state)
            job_id = record.job.job_id
            version = self._versions[job_id]
            changes.append(RowChange(TABLE_INTAKE, job_id, encode_tombstone(ended), version))
        try:
            version = await self._commit(partition, changes)
        except RowsChangedError as error:
            for row in error.rows:
                self._apply_conflicting_row(row)
            return
        for record in records:
            self.record_tombstone(record.job.job_id, version, record.progress_version)

    def _apply_conflicting_row(self, row: StoredRow) -> None:
        """Apply a row with another version than expected: an earlier write had no answer."""
        if row.payload is None:
            self.record_removed(row.key)
        elif _is_tombstone(row.payload):
            self.record_tombstone(row.key, row.version, 0)

    async def _clear_progress(self, partition: str, job_ids: Sequence[str]) -> None:
        """Remove the progress rows and cancel markers of jobs that have a tombstone."""
        changes: list[RowChange] = []
        removals = list(self._get_removals(job_ids))
        for removal in removals:
            cancel_marker = f'{removal.job_id}{CANCEL_SUFFIX}'
            changes += [
                RowChange(TABLE_PROGRESS, removal.job_id, None, removal.progress_version),
                RowChange(TABLE_INTAKE, cancel_marker, None),
            ]
        try:
            await self._commit(partition, changes)
        except RowsChangedError as error:
            for row in error.rows:
                await self._refresh_progress_version(row)
            return
        for removal in removals:
            removal.cleared = True

    async def _refresh_progress_version(self, row: StoredRow) -> None:
        """Record the version of a progress row if it certainly belongs to the ended job.

        It does while the tombstone exists, because the id can't be reused before that is removed.
        """
        removal = self._removals.get(row.key)
        if removal is None or removal.progress_version == row.version:
            return
        tombstone = await self._rows.read_row(
            TABLE_INTAKE, compute_intake_partition(row.key), row.key
        )
        if tombstone.version == removal.version:
            removal.progress_version = 0 if row.payload is None else row.version
        else:
            self._removals.pop(row.key, None)

    async def _remove_tombstones(self, partition: str, job_ids: Sequence[str]) -> None:
        """Remove the tombstones of jobs whose progress was removed."""
        removals = list(self._get_removals(job_ids))
        changes = [
            RowChange(TABLE_INTAKE, removal.job_id, None, removal.version) for removal in removals
        ]
        try:
            await self._commit(partition, changes)
        except RowsChangedError as error:
            # An earlier removal took effect without an answer, and the id may have been reused.
            changed = {row.key: row.version for row in error.rows}
            removals = [each for each in removals if changed.get(each.job_id) != each.version]
        for removal in removals:
            self._removals.pop(removal.job_id, None)

    async def _commit(self, partition: str, changes: Sequence[RowChange]) -> int:
        """Commit changes, if any: all jobs of a batch may have been dropped in the meantime."""
        return await self._rows.commit(partition, changes, self._permit) if changes else 0

    def _get_removals(self, job_ids: Sequence[str]) -> Iterator[Removal]:
        return (self._removals[job_id] for job_id in job_ids if job_id in self._removals)

    def _drop_job(self, job_id: str) -> None:
        record = self._state.jobs.get(job_id)
        if record is not None and not record.open:
            self._state.drop_job(job_id)
        self._versions.pop(job_id, None)
        self._ended_s.pop(job_id, None)


def _is_tombstone(payload: bytes) -> bool:
    try:
        return isinstance(decode_intake_row(payload), EndedJob)
    except RowFormatError as error:
        log.warning('accepted row of an ended job is unreadable, leaving it in place: %s', error)
        return False
