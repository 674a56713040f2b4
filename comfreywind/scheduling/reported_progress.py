"""Applies what a report shows of an active run to the record of the run."""

from comfreywind.decisions.scheduling.suspects import judge_report
from comfreywind.jobs.run_report import ActiveRun
from comfreywind.scheduling.run_record import FULL_PERCENT, RunRecord


def apply_progress(run: RunRecord, active: ActiveRun, now_s: float) -> None:
    """Record checkpoint, evidence, figures and progress of a run that a report lists."""
    run.checkpoint = active.checkpoint or run.checkpoint
    run.note_shown(now_s)
    run.add_evidence(judge_report(active.progress_percent, run.compute_observed_s(now_s)))
    run.at_work = active.progress_percent >= FULL_PERCENT and not run.ending
    run.metric_value = active.metric_value
    if active.progress_percent > run.progress_percent or not run.last_progress_s:
        run.progress_percent = active.progress_percent
        run.last_progress_s = now_s
