"""Accepted jobs and their progress in the platform's store, as any node reads and writes them."""

import logging
from functools import partial
from typing import TypeVar

from comfreywind.errors import (
    JobIdTakenError,
    RowsChangedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from comfreywind.http.client import Permit
from comfreywind.jobs.job import Job
from comfreywind.jobs.job_codec import (
    decode_job,
    decode_stored_progress,
    encode_job,
    encode_progress,
)
from comfreywind.jobs.job_owner import JobOwner, find_owner
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    TABLE_INTAKE,
    TABLE_PROGRESS,
    find_intake_part,
    find_progress_part,
)
from comfreywind.platform.concurrent_calls import run_together
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow

CANCEL_ATTEMPTS = 8
# Final states and owners never change, so they need not be read again.
CACHED_JOBS = 10_000

Kept = TypeVar('Kept')

log = logging.getLogger('comfreywind.intake')


class JobStore:
    """Accepts, reads and cancels jobs with conditional writes."""

    def __init__(self, rows: RowsClient, row_limit_bytes: int) -> None:
        """Use the store's client; the store refuses longer rows than `row_limit_bytes`."""
        self._rows = rows
        self.row_limit_bytes = row_limit_bytes
        self._final: dict[str, JobState] = {}
        self._owners: dict[str, JobOwner] = {}

    async def accept(self, job: Job, permit: Permit) -> bool:
        """Store a job; return False when its owner has stored a job of that id already.

        `permit` tells whether the caller may still hand it in when the row is about to be written.
        Raises JobIdTakenError when the id belongs to another owner's job, StoreRefusedError when
        nothing was written, and StoreUnavailableError when that is not known.
        """
        change = RowChange(TABLE_INTAKE, job.job_id, encode_job(job), 0)
        try:
            return await self._insert(change, job, permit)
        except StoreRefusedError:
            raise
        except StoreUnavailableError as doubt:
            log.info('job %s: sent again, %s', job.job_id, doubt)
        try:
            return await self._insert(change, job, permit)
        except StoreRefusedError as error:
            # The attempt before may have taken effect, so nothing may be said of the job.
            raise StoreUnavailableError(f'job {job.job_id}: {error}') from error

    async def read_state(self, job_id: str, team: str, queue: Queue) -> JobState | None:
        """Return the state of a job, or None when a caller of the team has no such job there."""
        owner = self._owners.get(job_id)
        if owner is not None and job_id in self._final:
            return self._final[job_id] if owner.admits(team, queue) else None
        found = await self._find_progress(job_id, team, queue)
        if found is None:
            return None
        state = found[0].state
        self._note_state(job_id, state)
        return state

    async def cancel(self, job_id: str, team: str, queue: Queue) -> JobState | None:
        """Cancel a job that is not final; return its state then.

        Returns None when a caller of the team has no such job in the queue.
        """
        for _ in range(CANCEL_ATTEMPTS):
            found = await self._find_progress(job_id, team, queue)
            if found is None:
                return None
            progress, version = found
            if progress.state.final:
                self._note_state(job_id, progress.state)
                return progress.state
            progress.state = JobState.CANCELLED
            changes = [
                RowChange(TABLE_PROGRESS, job_id, encode_progress(progress), version),
                RowChange(TABLE_INTAKE, f'{job_id}{CANCEL_SUFFIX}', b'cancelled'),
            ]
            try:
                await self._rows.commit(find_progress_part(job_id), changes)
            except RowsChangedError:
                log.info('job %s: progress changed while it was being cancelled', job_id)
            else:
                self._note_state(job_id, JobState.CANCELLED)
                return JobState.CANCELLED
        raise StoreUnavailableError(f'job {job_id}: progress changes too fast to be cancelled')

    async def _insert(self, change: RowChange, job: Job, permit: Permit) -> bool:
        try:
            await self._rows.commit(find_intake_part(change.key), [change], permit)
        except RowsChangedError as error:
            for row in error.rows:
                self._check_owner(row, job)
            return False
        _keep(self._owners, job.job_id, find_owner(job))
        return True

    def _check_owner(self, row: StoredRow, job: Job) -> None:
        if row.payload is not None and not _read_owner(row.payload).admits(job.team, job.queue):
            raise JobIdTakenError(f'the id {job.job_id} is in use')

    async def _find_progress(
        self, job_id: str, team: str, queue: Queue
    ) -> tuple[Progress, int] | None:
        """Return the progress of a job and its version, or None without such a job of the team."""
        progress_row, owner = await self._read_job(job_id)
        if owner is None or not owner.admits(team, queue):
            return None
        return decode_stored_progress(progress_row.payload), progress_row.version

    async def _read_job(self, job_id: str) -> tuple[StoredRow, JobOwner | None]:
        """Return the progress row and the owner, None when there is no such job."""
        found: dict[str, StoredRow] = {}

        async def read(table: str, part: str) -> None:
            found[table] = await self._rows.read_row(table, part, job_id)

        readings = [partial(read, TABLE_PROGRESS, find_progress_part(job_id))]
        if job_id not in self._owners:
            readings.append(partial(read, TABLE_INTAKE, find_intake_part(job_id)))
        await run_together(readings)
        accepted = found.get(TABLE_INTAKE)
        if accepted is not None and accepted.payload is not None:
            _keep(self._owners, job_id, _read_owner(accepted.payload))
        return found[TABLE_PROGRESS], self._owners.get(job_id)

    def _note_state(self, job_id: str, state: JobState) -> None:
        if state.final:
            _keep(self._final, job_id, state)


def _read_owner(payload: bytes) -> JobOwner:
    return find_owner(decode_job(payload))


def _keep(cache: dict[str, Kept], job_id: str, kept: Kept) -> None:
    """Keep what is known of a job, in place of the oldest when there are many."""
    while len(cache) >= CACHED_JOBS:
        del cache[next(iter(cache))]
    cache[job_id] = kept
