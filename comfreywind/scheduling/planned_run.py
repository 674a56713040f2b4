"""Runs that this holder starts."""

from comfreywind.decisions.scheduling.placement import compute_effective_request
from comfreywind.jobs.step import Step
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.run_record import RunRecord, RunState
from comfreywind.scheduling.task_image import get_image


def make_planned_run(
    record: JobRecord, key: TaskKey, run_id: int, target_id: str, now_s: float
) -> RunRecord:
    """Return the record of a run that is about to be ordered."""
    step = record.job.steps[key.step]
    return RunRecord(
        key,
        run_id,
        target_id,
        record.job.team,
        compute_effective_request(step),
        step.request,
        RunState.STARTING,
        now_s,
        now_s,
        tail_latency_limit_ms=step.tail_latency_limit_ms,
        best_effort=step.best_effort,
        long_running=step.long_running,
        # The members of a gang need targets at the same time, so they are not kept apart.
        suspect=key in record.suspects and not step.gang,
        image=get_image(record.job, key.step),
        comparable_ms=_get_comparable_ms(step),
    )


def _get_comparable_ms(step: Step) -> int:
    """Return the estimate of the run time, or 0 if run times depend on more than the neighbours.

    A run from a checkpoint takes less, gangs wait for each other, and best-effort tasks take what
    time is left.
    """
    depends = step.long_running or step.checkpointing or step.gang or step.best_effort
    return 0 if depends else step.estimate_ms
