"""Counts the crash of a target against the tasks that ran there."""

import logging
from collections.abc import Iterable, Iterator, Mapping

from comfreywind.decisions.scheduling.crash_blame import (
    CrashVerdict,
    LostRun,
    is_explained,
    judge_crash,
)
from comfreywind.decisions.scheduling.crash_history import CrashHistory
from comfreywind.decisions.scheduling.suspects import is_cleared
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.run_record import RunRecord
from comfreywind.scheduling.target_record import TargetRecord

log = logging.getLogger('comfreywind.board')


def count_crash(
    jobs: Mapping[str, JobRecord],
    history: CrashHistory,
    target: TargetRecord,
    lost: Iterable[RunRecord],
) -> Iterator[tuple[JobRecord, bool]]:
    """Record the verdicts on the tasks of the runs that were lost.

    Yields each job whose stored progress has changed, and whether it is to be given up.
    """
    runs = [
        LostRun(
            run.key,
            run.evidence,
            target.heard_s - run.begun_s,
            jobs[run.key.job_id].get_crash_count(run.key),
        )
        for run in lost
        if _is_still_needed(jobs, run)
    ]
    pool = target.entry.pool
    if not is_explained(runs):
        history.note_unexplained(pool, target.heard_s)
    for verdict in judge_crash(runs, history.has_other_cause(pool, target.heard_s)):
        record = jobs[verdict.key.job_id]
        if record.open and _record_verdict(record, target, verdict):
            yield record, verdict.given_up


def clear_suspect(record: JobRecord | None, run: RunRecord, now_s: float) -> JobRecord | None:
    """Clear the task of a run that has gone on for long enough.

    Returns the job if its stored progress has changed.
    """
    if record is None or run.key not in record.suspects:
        return None
    if not is_cleared(run.compute_observed_s(now_s)):
        return None
    log.info('task %s: not suspected any more, as its run %d goes on', run.key, run.run_id)
    record.suspects.discard(run.key)
    if not record.get_crash_count(run.key):
        return None
    record.set_crash_count(run.key, 0)
    return record


def _is_still_needed(jobs: Mapping[str, JobRecord], run: RunRecord) -> bool:
    """Return whether the task of the run is open; one that lapsed may be done elsewhere by now."""
    record = jobs.get(run.key.job_id)
    return record is not None and record.open and not record.is_done(run.key)


def _record_verdict(record: JobRecord, target: TargetRecord, verdict: CrashVerdict) -> bool:
    """Record a verdict; return whether the count of crashes has changed."""
    key = verdict.key
    if verdict.suspect:
        record.suspects.add(key)
    if verdict.crash_count == record.get_crash_count(key):
        return False
    record.set_crash_count(key, verdict.crash_count)
    log.info(
        'task %s: blamed for %d crashes of targets, the last of %s%s',
        key,
        verdict.crash_count,
        target.entry.target_id,
        '; given up' if verdict.given_up else '',
    )
    return True
