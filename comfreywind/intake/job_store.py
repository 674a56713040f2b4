"""Accepted jobs and their progress in the platform's store, as any node reads and writes them."""

import logging

from comfreywind.errors import RowsChangedError, StoreRefusedError, StoreUnavailableError
from comfreywind.jobs.job import Job
from comfreywind.jobs.job_codec import decode_stored_progress, encode_job, encode_progress
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    TABLE_INTAKE,
    TABLE_PROGRESS,
    find_intake_part,
    find_progress_part,
)
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange

CANCEL_ATTEMPTS = 8
# Final states never change, so they need not be read again.
CACHED_STATES = 10_000

log = logging.getLogger('comfreywind.intake')


class JobStore:
    """Accepts, reads and cancels jobs with conditional writes."""

    def __init__(self, rows: RowsClient, row_limit_bytes: int) -> None:
        """Use the store's client; the store refuses longer rows than `row_limit_bytes`."""
        self._rows = rows
        self.row_limit_bytes = row_limit_bytes
        self._final: dict[str, JobState] = {}

    async def accept(self, job: Job) -> bool:
        """Store a job; return False when a job of that id is stored already.

        Raises StoreRefusedError when nothing was written, and StoreUnavailableError when that is
        not known.
        """
        change = RowChange(TABLE_INTAKE, job.job_id, encode_job(job), 0)
        try:
            return await self._insert(change)
        except StoreRefusedError:
            raise
        except StoreUnavailableError as doubt:
            log.info('job %s: sent again, %s', job.job_id, doubt)
        try:
            return await self._insert(change)
        except StoreRefusedError as error:
            # The attempt before may have taken effect, so nothing may be said of the job.
            raise StoreUnavailableError(f'job {job.job_id}: {error}') from error

    async def read_state(self, job_id: str) -> JobState | None:
        """Return the state of a job, or None when there is no such job."""
        known = self._final.get(job_id)
        if known is not None:
            return known
        found = await self._find_progress(job_id)
        if found is None:
            return None
        state = found[0].state
        self._note_state(job_id, state)
        return state

    async def cancel(self, job_id: str) -> JobState | None:
        """Cancel a job that is not final; return its state then, or None when there is none."""
        for _ in range(CANCEL_ATTEMPTS):
            found = await self._find_progress(job_id)
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

    async def _insert(self, change: RowChange) -> bool:
        try:
            await self._rows.commit(find_intake_part(change.key), [change])
        except RowsChangedError:
            return False
        return True

    async def _find_progress(self, job_id: str) -> tuple[Progress, int] | None:
        """Return the progress of a job and its version, or None when there is no such job."""
        row = await self._rows.read_row(TABLE_PROGRESS, find_progress_part(job_id), job_id)
        if row.payload is None:
            part = find_intake_part(job_id)
            accepted = await self._rows.read_row(TABLE_INTAKE, part, job_id)
            if accepted.payload is None:
                return None
        return decode_stored_progress(row.payload), row.version

    def _note_state(self, job_id: str, state: JobState) -> None:
        if not state.final:
            return
        while len(self._final) >= CACHED_STATES:
            del self._final[next(iter(self._final))]
        self._final[job_id] = state
