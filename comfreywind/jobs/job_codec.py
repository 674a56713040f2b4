"""Encodes accepted jobs, tombstones and progress as msgpack rows, and decodes them."""

from collections.abc import Sequence
from dataclasses import astuple
from typing import Any

import msgpack

from comfreywind.jobs.compact_progress import COMPACT_FORMAT_VERSION, decode_compact
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job import Job
from comfreywind.jobs.job_limits import describe_exceeded_limit
from comfreywind.jobs.job_owner import JobOwner
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.row_format import RowFormatError, wrap_row_errors
from comfreywind.jobs.step import Step

FORMAT_VERSION = 1
# Stored in place of the job id to mark a tombstone; it can't equal an id, which is hexadecimal.
TOMBSTONE_MARK = 'ended'


def encode_job(job: Job) -> bytes:
    """Return the value of the job's row in the intake table."""
    steps = [_list_fields(step) for step in job.steps]
    times = [job.accepted_ms, job.occurrence_count, job.first_due_ms, job.interval_ms]
    row = [FORMAT_VERSION, job.job_id, job.team, _list_fields(job.queue), job.spec, steps, times]
    return _pack(row)


def encode_tombstone(ended: EndedJob) -> bytes:
    """Return the value of the row that replaces a job while its rows are being removed."""
    return _pack([FORMAT_VERSION, TOMBSTONE_MARK, ended.state.value, *astuple(ended.owner)])


def decode_intake_row(value: bytes) -> Job | EndedJob:
    """Return the job of an intake row, or the content of its tombstone.

    Raises RowFormatError when the row can't be decoded or the job is beyond a limit.
    """
    row = _unpack(value)
    if row[1:2] == [TOMBSTONE_MARK]:
        with wrap_row_errors('tombstone of a job'):
            return EndedJob(JobOwner(*row[3:]), JobState(row[2]))
    return _decode_job(row)


def _decode_job(row: list[Any]) -> Job:
    try:
        job, exceeded_limit = _check_job(_make_job(*row[1:]))
    except (TypeError, ValueError) as error:
        raise RowFormatError(f'row of a job: {error}') from error
    if exceeded_limit is not None:
        raise RowFormatError(f'row of a job: {exceeded_limit}')
    return job


def _check_job(job: Job) -> tuple[Job, str | None]:
    """Return the job and a description of the limit that it exceeds, or None.

    Raises TypeError when a field has another type, which the constructor of Job does not check.
    """
    return job, describe_exceeded_limit(job)


def encode_progress(progress: Progress) -> bytes:
    """Return the value of the job's row in the progress table, in the plain format."""
    done = [list(task) for task in sorted(progress.done)]
    failures = [[*task, *sorted(runs)] for task, runs in progress.failures.items()]
    checkpoints = [[*task, text] for task, text in progress.checkpoints.items()]
    crashes = [[*task, count] for task, count in progress.crashes.items()]
    # Left out if empty, so that nodes of an earlier version can read the rows of most jobs.
    optional = [crashes] if crashes else []
    return _pack([FORMAT_VERSION, progress.state.value, done, failures, checkpoints, *optional])


def decode_progress(value: bytes) -> Progress:
    """Return the progress in a row; raise RowFormatError when the row can't be decoded."""
    row = _unpack(value, (FORMAT_VERSION, COMPACT_FORMAT_VERSION))
    make = decode_compact if row[0] == COMPACT_FORMAT_VERSION else _make_progress
    try:
        return make(*row[1:])
    except (TypeError, ValueError, IndexError) as error:
        raise RowFormatError(f"row of a job's progress: {error}") from error


def decode_stored_progress(value: bytes | None) -> Progress:
    """Return the progress in a row, or the initial progress for a row that does not exist yet.

    The row is first written when the progress changes.
    """
    return Progress() if value is None else decode_progress(value)


def _list_fields(record: Any) -> list[Any]:
    return list(astuple(record))


def _make_job(
    job_id: str, team: str, queue: list[Any], spec: str, steps: list[list[Any]], times: list[int]
) -> Job:
    return Job(
        job_id, team, Queue(*queue), spec, tuple(_make_step(*step) for step in steps), *times
    )


def _make_step(
    task_count: int, request: list[int], estimate_ms: int, after: list[int], *rest: Any
) -> Step:
    return Step(task_count, Resources(*request), estimate_ms, tuple(after), *rest)


def _make_progress(
    state: str,
    done: list[list[int]],
    failures: list[list[int]],
    checkpoints: list[list[Any]],
    crashes: Sequence[list[int]] = (),
) -> Progress:
    return Progress(
        JobState(state),
        {(task[0], task[1], task[2]) for task in done},
        {(task[0], task[1], task[2]): set(task[3:]) for task in failures},
        {(task[0], task[1], task[2]): task[3] for task in checkpoints},
        {(task[0], task[1], task[2]): int(task[3]) for task in crashes},
    )


def _pack(row: list[Any]) -> bytes:
    packed: bytes = msgpack.packb(row)
    return packed


def _unpack(value: bytes, versions: Sequence[int] = (FORMAT_VERSION,)) -> Any:
    try:
        row = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException) as error:
        raise RowFormatError(f'row is not valid msgpack: {error}') from error
    if not isinstance(row, list) or not row or row[0] not in versions:
        raise RowFormatError(f'row is not a list that begins with a format version of {versions}')
    return row
