"""Reports on jobs and on the holder, read from the platform's store."""

from functools import singledispatch

from comfreywind.errors import JobMissingError
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job import Job
from comfreywind.jobs.job_codec import decode_intake_row, decode_stored_progress
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.tables import (
    TABLE_INTAKE,
    TABLE_PROGRESS,
    TABLE_TERM,
    TERM_KEY,
    TERM_PARTITION,
    compute_intake_partition,
    compute_progress_partition,
)
from comfreywind.platform.rows_client import RowsClient
from comfreywind.scheduling.pending_count import unpack_pending_count
from comfreywind.scheduling.term_row import TermRow, decode_term

ReportRow = tuple[str, object]
OPEN_TO_ALL = '(open to all)'


async def read_job_report(rows: RowsClient, job_id: str) -> list[ReportRow]:
    """Return the names and values of a job's report; raise JobMissingError if it is not stored."""
    # Read progress first: it is removed before the last row of a job.
    progress_row = await rows.read_row(TABLE_PROGRESS, compute_progress_partition(job_id), job_id)
    job_row = await rows.read_row(TABLE_INTAKE, compute_intake_partition(job_id), job_id)
    if job_row.payload is None:
        raise JobMissingError(f'no job {job_id} is stored')
    progress = decode_stored_progress(progress_row.payload)
    return [('job', job_id), *describe_job(decode_intake_row(job_row.payload), progress)]


async def read_holder_report(rows: RowsClient) -> list[ReportRow]:
    """Return the holder of the term and the number of pending jobs by queue."""
    row = await rows.read_row(TABLE_TERM, TERM_PARTITION, TERM_KEY)
    term = decode_term(row.payload) if row.payload else TermRow('', 0)
    state = 'released' if term.released else 'held'
    report: list[ReportRow] = [('holder', term.holder), ('term', term.epoch), ('state', state)]
    jobs_by_queue = unpack_pending_count(term.pending, term.renewed_ms).jobs_by_queue
    report.extend((f'pending in {queue}', jobs_by_queue[queue]) for queue in sorted(jobs_by_queue))
    return report


@singledispatch
def describe_job(accepted: object, progress: Progress) -> list[ReportRow]:
    """Return names and values: state, tasks done by step, and why the job has not ended."""
    raise TypeError(f'unknown row of a job {accepted!r}')


@describe_job.register
def _describe_ended(ended: EndedJob, progress: Progress) -> list[ReportRow]:
    return [
        ('state', ended.state.value),
        ('team', ended.owner.team or OPEN_TO_ALL),
        ('queue', ended.owner.queue),
    ]


@describe_job.register
def _describe_job(job: Job, progress: Progress) -> list[ReportRow]:
    report: list[ReportRow] = [
        ('state', progress.state.value),
        ('team', job.team or OPEN_TO_ALL),
        ('queue', job.queue.name),
        ('pool', job.queue.pool),
    ]
    for number, step in enumerate(job.steps):
        done = sum(task[1] == number for task in progress.done)
        total = step.task_count * job.count_occurrences()
        report.append((f'step {number}', f'{done} of {total} tasks done'))
    failures = sum(map(len, progress.failures.values()))
    if failures:
        report.append(('failed attempts', failures))
    if not progress.state.final:
        report.append(('waits for', _explain_wait(job, progress)))
    return report


def _explain_wait(job: Job, progress: Progress) -> str:
    """Return what the job waits for, as far as its rows show it; the holder's log has more."""
    if job.long_running:
        return 'its cancelling; lasting tasks run until then'
    if job.occurrence_count:
        return 'the times of its occurrences and their ends'
    open_steps = [
        number
        for number, step in enumerate(job.steps)
        if sum(task[1] == number for task in progress.done) < step.task_count
    ]
    return f'step {open_steps[0]}: room in pool {job.queue.pool}, or the ends of its runs'
