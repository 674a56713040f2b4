"""Runs that an earlier holder started and a report has shown to this one."""

from comfreywind.decisions.scheduling.placement import compute_effective_request
from comfreywind.jobs.resources import NO_RESOURCES
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.run_record import RunRecord, RunState
from comfreywind.scheduling.target_record import TargetRecord


def should_run(record: JobRecord, key: TaskKey) -> bool:
    if not record.has_task(key) or key in record.runs:
        return False
    return record.open and not record.is_done(key)


def describe_unneeded_run(record: JobRecord | None, key: TaskKey) -> tuple[Step, str]:
    """Return the step and the team of a run, which takes capacity until it has been stopped.

    What a run of an unknown task takes is unknown too, and counted as nothing.
    """
    if record is None or not record.has_task(key):
        return Step(1, NO_RESOURCES), ''
    return record.job.steps[key.step], record.job.team


def make_adopted_run(
    target: TargetRecord,
    key: TaskKey,
    run_id: int,
    now_s: float,
    step: Step,
    team: str,
    image: str = '',
) -> RunRecord:
    return RunRecord(
        key,
        run_id,
        target.entry.target_id,
        team,
        compute_effective_request(step),
        step.request,
        RunState.RUNNING,
        now_s,
        now_s,
        tail_latency_limit_ms=step.tail_latency_limit_ms,
        best_effort=step.best_effort,
        long_running=step.long_running,
        image=image,
    )
