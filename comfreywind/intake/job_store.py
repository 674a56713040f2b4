"""Accepted jobs and their progress in the platform's store, as any node reads and writes them."""

import logging
from functools import partial

from comfreywind.clock import Clock
from comfreywind.errors import (
    JobIdTakenError,
    RowsChangedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from comfreywind.http.client import Permit
from comfreywind.intake.ttl_cache import TtlCache
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job import Job
from comfreywind.jobs.job_codec import (
    decode_intake_row,
    decode_stored_progress,
    encode_job,
    encode_progress,
)
from comfreywind.jobs.job_owner import JobOwner, get_owner
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    TABLE_INTAKE,
    TABLE_PROGRESS,
    compute_intake_partition,
    compute_progress_partition,
)
from comfreywind.platform.concurrent_calls import run_concurrently
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow

CANCEL_ATTEMPTS = 8
CACHED_JOBS = 10_000
# A job that has not ended is in the store for the whole retention at least.
CACHED_PART_OF_RETENTION = 0.5
MS_PER_S = 1000

log = logging.getLogger('comfreywind.intake')


class JobStore:
    """Accepts, reads and cancels jobs with conditional writes."""

    def __init__(
        self, rows: RowsClient, row_limit_bytes: int, retention_s: float, clock: Clock
    ) -> None:
        """Use the store's client; the store refuses longer rows than `row_limit_bytes`.

        Jobs are kept for `retention_s` after their end. Owners are cached of open jobs only, states
        of ended ones only: neither changes until the job is removed.
        """
        self._rows = rows
        self.row_limit_bytes = row_limit_bytes
        self._clock = clock
        self._retention_s = retention_s
        kept_s = retention_s * CACHED_PART_OF_RETENTION
        self._owners: TtlCache[JobOwner] = TtlCache(CACHED_JOBS, kept_s, clock)
        self._ended: TtlCache[EndedJob] = TtlCache(CACHED_JOBS, kept_s, clock)

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
        ended = self._ended.get(job_id)
        if ended is not None:
            return ended.state if ended.owner.allows_access(team, queue) else None
        found = await self._find_progress(job_id, team, queue)
        return None if found is None else found[0].state

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
                return progress.state
            progress.state = JobState.CANCELLED
            changes = [
                RowChange(TABLE_PROGRESS, job_id, encode_progress(progress), version),
                RowChange(TABLE_INTAKE, f'{job_id}{CANCEL_SUFFIX}', b'cancelled'),
            ]
            try:
                await self._rows.commit(compute_progress_partition(job_id), changes)
            except RowsChangedError:
                log.info('job %s: progress changed while it was being cancelled', job_id)
            else:
                self._owners.drop(job_id)
                return JobState.CANCELLED
        raise StoreUnavailableError(f'job {job_id}: progress changes too fast to be cancelled')

    async def _insert(self, change: RowChange, job: Job, permit: Permit) -> bool:
        try:
            await self._rows.commit(compute_intake_partition(change.key), [change], permit)
        except RowsChangedError as error:
            for row in error.rows:
                self._check_owner(row, job)
            return False
        self._ended.drop(job.job_id)
        self._owners.put(job.job_id, get_owner(job))
        return True

    def _check_owner(self, row: StoredRow, job: Job) -> None:
        if row.payload is None:
            return
        if not get_owner(decode_intake_row(row.payload)).allows_access(job.team, job.queue):
            raise JobIdTakenError(f'the id {job.job_id} is in use')

    async def _find_progress(
        self, job_id: str, team: str, queue: Queue
    ) -> tuple[Progress, int] | None:
        """Return the progress of a job and its version, or None without such a job of the team."""
        owner = self._owners.get(job_id)
        progress_row, accepted = await self._read_job(job_id, owner is None)
        if accepted is not None:
            owner = get_owner(accepted)
        if owner is None:
            return None
        progress = decode_stored_progress(progress_row.payload)
        if isinstance(accepted, EndedJob):
            progress.state = accepted.state
        if progress.state.final:
            self._owners.drop(job_id)
            self._ended.put(job_id, EndedJob(owner, progress.state))
        else:
            self._owners.put(job_id, owner)
        return (progress, progress_row.version) if owner.allows_access(team, queue) else None

    async def _read_job(
        self, job_id: str, with_accepted: bool
    ) -> tuple[StoredRow, Job | EndedJob | None]:
        """Return the progress row and, if asked for, the accepted job or what its tombstone tells."""
        found: dict[str, StoredRow] = {}

        async def read(table: str, partition: str) -> None:
            found[table] = await self._rows.read_row(table, partition, job_id)

        read_accepted = partial(read, TABLE_INTAKE, compute_intake_partition(job_id))
        readings = [partial(read, TABLE_PROGRESS, compute_progress_partition(job_id))]
        if with_accepted:
            readings.append(read_accepted)
        await run_concurrently(readings)
        accepted = _decode_found(found)
        if found[TABLE_PROGRESS].payload is None and self._is_old(accepted):
            # It may have been removed between the two readings.
            await read_accepted()
            accepted = _decode_found(found)
        return found[TABLE_PROGRESS], accepted

    def _is_old(self, accepted: Job | EndedJob | None) -> bool:
        """Return whether the job may have ended so long ago that it is being removed."""
        if not isinstance(accepted, Job):
            return False
        age_s = self._clock.read_utc().timestamp() - accepted.accepted_ms / MS_PER_S
        return age_s >= self._retention_s * CACHED_PART_OF_RETENTION


def _decode_found(found: dict[str, StoredRow]) -> Job | EndedJob | None:
    row = found.get(TABLE_INTAKE)
    return None if row is None or row.payload is None else decode_intake_row(row.payload)
