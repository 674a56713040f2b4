"""Stores accepted jobs in the platform's table service, and reads and cancels them.

Every node serves callers, so several may write the same rows at the same time.
"""

import logging
from collections.abc import Callable
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
)
from comfreywind.jobs.job_owner import JobOwner, get_owner
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.progress_row import make_progress_row
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

# The holder may write the progress between the read and the write of a cancellation.
CANCEL_ATTEMPTS = 8
CACHE_ENTRY_LIMIT = 10_000
# A job stays in the store for the whole retention after its end. An entry that was cached before
# the end, or at it, expires after half of that time, well before the job is removed.
CACHED_RETENTION_RATIO = 0.5
MS_PER_S = 1000

log = logging.getLogger('comfreywind.intake')


def _ignore_accepted(row: StoredRow) -> None:
    """Leave the holder to learn of the job from the store."""


class JobStore:
    """Accepts, reads and cancels jobs with conditional writes.

    `row_limit_bytes` is the largest row that the store accepts.
    """

    def __init__(
        self,
        rows: RowsClient,
        row_limit_bytes: int,
        retention_s: float,
        clock: Clock,
        notify_accepted: Callable[[StoredRow], None] = _ignore_accepted,
    ) -> None:
        """Use the client of the table service, which keeps jobs for `retention_s` after their end.

        Two caches save readings: the owners of jobs that have not ended, and the owners and states
        of ended jobs. Neither changes until the job is removed. The state of a job that has not
        ended may change, so it is never cached. `notify_accepted` gets the row of each new job.
        """
        self._notify_accepted = notify_accepted
        self._rows = rows
        self.row_limit_bytes = row_limit_bytes
        self._clock = clock
        self._retention_s = retention_s
        ttl_s = retention_s * CACHED_RETENTION_RATIO
        self._owners: TtlCache[JobOwner] = TtlCache(CACHE_ENTRY_LIMIT, ttl_s, clock)
        self._ended: TtlCache[EndedJob] = TtlCache(CACHE_ENTRY_LIMIT, ttl_s, clock)

    @property
    def reachable(self) -> bool:
        """Return whether the store answered the last call of this node."""
        return self._rows.reachable

    async def accept(self, job: Job, permit: Permit) -> bool:
        """Store a job; return False when its owner has already stored a job of that id.

        `permit` is called just before the row is written and returns whether the caller may still
        submit the job. Raises JobIdTakenError when the id belongs to another owner's job,
        StoreRefusedError when nothing was written, and StoreUnavailableError when the outcome is
        unknown.
        """
        change = RowChange(TABLE_INTAKE, job.job_id, encode_job(job), 0)
        try:
            return await self._insert(change, job, permit)
        except StoreRefusedError:
            raise
        except StoreUnavailableError as first_error:
            log.info(
                'job %s: outcome of the write unknown, writing it again: %s',
                job.job_id,
                first_error,
            )
        try:
            return await self._insert(change, job, permit)
        except StoreRefusedError as error:
            # The first write may have taken effect, so the outcome is unknown, not refused.
            raise StoreUnavailableError(f'job {job.job_id}: {error}') from error

    async def is_stored(self, job_id: str) -> bool:
        """Return whether the store has a job of that id; raise StoreUnavailableError if unread."""
        if self._owners.get(job_id) is not None or self._ended.get(job_id) is not None:
            return True
        partition = compute_intake_partition(job_id)
        row = await self._rows.read_row(TABLE_INTAKE, partition, job_id)
        return row.payload is not None

    async def read_state(self, job_id: str, team: str, queue: Queue) -> JobState | None:
        """Return the state of a job.

        Returns None when no such job is stored or the team has no access to it through the queue.
        """
        ended = self._ended.get(job_id)
        if ended is not None:
            return ended.state if ended.owner.allows_access(team, queue) else None
        versioned = await self._read_progress(job_id, team, queue)
        return None if versioned is None else versioned[0].state

    async def cancel(self, job_id: str, team: str, queue: Queue) -> JobState | None:
        """Cancel a job unless it has ended; return its state after the call.

        Returns None when no such job is stored or the team has no access to it through the queue.
        """
        for _ in range(CANCEL_ATTEMPTS):
            versioned = await self._read_progress(job_id, team, queue)
            if versioned is None:
                return None
            progress, version = versioned
            if progress.state.final:
                return progress.state
            progress.state = JobState.CANCELLED
            row = make_progress_row(progress, self.row_limit_bytes)
            changes = [
                RowChange(TABLE_PROGRESS, job_id, row.payload, version),
                RowChange(TABLE_INTAKE, f'{job_id}{CANCEL_SUFFIX}', b'cancelled'),
            ]
            try:
                await self._rows.commit(compute_progress_partition(job_id), changes)
            except RowsChangedError:
                log.info('job %s: progress changed during its cancellation, trying again', job_id)
            else:
                self._owners.drop(job_id)
                return JobState.CANCELLED
        raise StoreUnavailableError(
            f'job {job_id}: not cancelled, its progress changed in {CANCEL_ATTEMPTS} attempts'
        )

    async def _insert(self, change: RowChange, job: Job, permit: Permit) -> bool:
        partition = compute_intake_partition(change.key)
        try:
            version = await self._rows.commit(partition, [change], permit)
        except RowsChangedError as error:
            for row in error.rows:
                self._check_owner(row, job)
            return False
        self._ended.drop(job.job_id)
        self._owners.put(job.job_id, get_owner(job))
        self._notify(StoredRow(TABLE_INTAKE, partition, change.key, change.payload, version))
        return True

    def _notify(self, row: StoredRow) -> None:
        try:
            self._notify_accepted(row)
        except Exception as error:
            # The job is stored, and its caller must not be told otherwise.
            log.error('job %s: stored, but its notice failed', row.key, exc_info=error)

    def _check_owner(self, row: StoredRow, job: Job) -> None:
        """Raise JobIdTakenError when the stored row is of a job that the submitter can't access."""
        if row.payload is None:
            return
        if not get_owner(decode_intake_row(row.payload)).allows_access(job.team, job.queue):
            raise JobIdTakenError(f'the id {job.job_id} is in use')

    async def _read_progress(
        self, job_id: str, team: str, queue: Queue
    ) -> tuple[Progress, int] | None:
        """Return the progress of a job and the version of its row.

        Returns None when no such job is stored or the team has no access to it through the queue.
        """
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
        """Return the progress row and, if `with_accepted` is set, the job or its tombstone."""
        rows_by_table: dict[str, StoredRow] = {}

        async def read(table: str, partition: str) -> None:
            rows_by_table[table] = await self._rows.read_row(table, partition, job_id)

        read_accepted = partial(read, TABLE_INTAKE, compute_intake_partition(job_id))
        calls = [partial(read, TABLE_PROGRESS, compute_progress_partition(job_id))]
        if with_accepted:
            calls.append(read_accepted)
        await run_concurrently(calls)
        accepted = _decode_accepted(rows_by_table)
        if rows_by_table[TABLE_PROGRESS].payload is None and self._may_be_in_removal(accepted):
            # The two rows are not read in one transaction: the progress may have been removed after
            # the job was read. Reading the job again shows the tombstone, which was written first.
            await read_accepted()
            accepted = _decode_accepted(rows_by_table)
        return rows_by_table[TABLE_PROGRESS], accepted

    def _may_be_in_removal(self, accepted: Job | EndedJob | None) -> bool:
        """Return whether the job is so old that it may have ended and its rows be in removal."""
        if not isinstance(accepted, Job):
            return False
        age_s = self._clock.read_utc().timestamp() - accepted.accepted_ms / MS_PER_S
        return age_s >= self._retention_s * CACHED_RETENTION_RATIO


def _decode_accepted(rows_by_table: dict[str, StoredRow]) -> Job | EndedJob | None:
    row = rows_by_table.get(TABLE_INTAKE)
    return None if row is None or row.payload is None else decode_intake_row(row.payload)
