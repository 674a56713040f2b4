"""Removes jobs from the store and from the board some time after they have ended."""

import logging
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence

import trio

from comfreywind.clock import Clock
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job_codec import decode_accepted, encode_tombstone
from comfreywind.jobs.job_owner import find_owner
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    TABLE_INTAKE,
    TABLE_PROGRESS,
    find_intake_part,
    find_progress_part,
)
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.removal import Removal

# Small beside the retention, so that the jobs of a look fit in a few transactions of each part.
SWEEP_INTERVAL_S = 5.0
# A caller may ask for the state until the end of the period, and its call may be slow.
RETENTION_MARGIN_S = 30.0
# A transaction holds at most 100 entries, and a job needs up to three.
JOBS_PER_COMMIT = 30
# Leaves a part to callers between two of its transactions.
COMMIT_PAUSE_S = 0.05

log = logging.getLogger('comfreywind.retention')


class JobRetention:
    """Removes a job `retention_s` after this holder first saw it ended.

    The rows of a job are in two parts, and a transaction changes one. So the accepted row is
    replaced by a tombstone with the final state, then progress and mark are removed, then the
    tombstone. Who reads in between learns the state from it, and a later holder goes on there.
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
        """Note the version of an accepted job; another one means that the id is used anew."""
        if version > self._versions.get(job_id, version):
            self._drop(job_id)
        self._removals.pop(job_id, None)
        self._versions[job_id] = version

    def record_tombstone(self, job_id: str, version: int, progress_version: int) -> None:
        """Note that a tombstone stands for the job; its progress was last seen at the version."""
        record = self._state.jobs.get(job_id)
        if record is not None:
            progress_version = record.progress_version
            self._drop(job_id)
        self._removals.setdefault(job_id, Removal(job_id, version, progress_version))

    def record_removed(self, job_id: str) -> None:
        """Note that the store no longer has the job."""
        self._removals.pop(job_id, None)
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
        await self._commit_all(self._list_due(), find_intake_part, self._replace)
        uncleared = [each for each in self._removals.values() if not each.cleared]
        await self._commit_all([each.job_id for each in uncleared], find_progress_part, self._clear)
        cleared = [each for each in self._removals.values() if each.cleared]
        await self._commit_all([each.job_id for each in cleared], find_intake_part, self._remove)
        if cleared:
            log.info('%d ended jobs removed', len(cleared))

    async def _commit_all(
        self,
        job_ids: Iterable[str],
        find_part: Callable[[str], str],
        commit: Callable[[str, Sequence[str]], Awaitable[None]],
    ) -> None:
        by_part: dict[str, list[str]] = {}
        for job_id in job_ids:
            by_part.setdefault(find_part(job_id), []).append(job_id)
        for part, ids in by_part.items():
            for start in range(0, len(ids), JOBS_PER_COMMIT):
                await commit(part, ids[start : start + JOBS_PER_COMMIT])
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

    async def _replace(self, part: str, job_ids: Sequence[str]) -> None:
        """Put tombstones in the place of the accepted ones."""
        changes: list[RowChange] = []
        jobs = self._state.jobs
        records = [jobs[each] for each in job_ids if each in jobs and each in self._versions]
        for record in records:
            ended = EndedJob(find_owner(record.job), record.progress.state)
            job_id = record.job.job_id
            version = self._versions[job_id]
            changes.append(RowChange(TABLE_INTAKE, job_id, encode_tombstone(ended), version))
        try:
            version = await self._commit(part, changes)
        except RowsChangedError as error:
            for row in error.rows:
                self._note_replaced(row)
            return
        for record in records:
            self.record_tombstone(record.job.job_id, version, record.progress_version)

    def _note_replaced(self, row: StoredRow) -> None:
        """Take in a row that this holder has changed without having got an answer."""
        if row.payload is None:
            self.record_removed(row.key)
        elif _is_tombstone(row.payload):
            self.record_tombstone(row.key, row.version, 0)

    async def _clear(self, part: str, job_ids: Sequence[str]) -> None:
        """Remove progress and marks of jobs for which a tombstone stands."""
        changes: list[RowChange] = []
        removals = list(self._find_removals(job_ids))
        for removal in removals:
            mark = f'{removal.job_id}{CANCEL_SUFFIX}'
            changes += [
                RowChange(TABLE_PROGRESS, removal.job_id, None, removal.progress_version),
                RowChange(TABLE_INTAKE, mark, None),
            ]
        try:
            await self._commit(part, changes)
        except RowsChangedError as error:
            for row in error.rows:
                await self._note_progress(row)
            return
        for removal in removals:
            removal.cleared = True

    async def _note_progress(self, row: StoredRow) -> None:
        """Take in the version of a progress row, if it is certain that it is of the ended job.

        A row read while the tombstone stands is: the id can't be used anew before that is gone.
        """
        removal = self._removals.get(row.key)
        if removal is None or removal.progress_version == row.version:
            return
        tombstone = await self._rows.read_row(TABLE_INTAKE, find_intake_part(row.key), row.key)
        if tombstone.version == removal.version:
            removal.progress_version = 0 if row.payload is None else row.version
        else:
            self._removals.pop(row.key, None)

    async def _remove(self, part: str, job_ids: Sequence[str]) -> None:
        """Remove tombstones whose progress is gone."""
        removals = list(self._find_removals(job_ids))
        changes = [
            RowChange(TABLE_INTAKE, removal.job_id, None, removal.version) for removal in removals
        ]
        try:
            await self._commit(part, changes)
        except RowsChangedError as error:
            # Removed before, without an answer; the id may be in use anew.
            changed = {row.key: row.version for row in error.rows}
            removals = [each for each in removals if changed.get(each.job_id) != each.version]
        for removal in removals:
            self._removals.pop(removal.job_id, None)

    async def _commit(self, part: str, changes: Sequence[RowChange]) -> int:
        """Commit what the jobs still need; they may have been dropped while others were committed."""
        return await self._rows.commit(part, changes, self._permit) if changes else 0

    def _find_removals(self, job_ids: Sequence[str]) -> Iterator[Removal]:
        return (self._removals[job_id] for job_id in job_ids if job_id in self._removals)

    def _drop(self, job_id: str) -> None:
        record = self._state.jobs.get(job_id)
        if record is not None and not record.open:
            self._state.drop_job(job_id)
        self._versions.pop(job_id, None)
        self._ended_s.pop(job_id, None)


def _is_tombstone(payload: bytes) -> bool:
    try:
        return isinstance(decode_accepted(payload), EndedJob)
    except RowFormatError as error:
        log.warning('a row that is being removed is left: %s', error)
        return False
