"""Whether a long-running step may miss one more task, by the scheduler state."""

from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.run_record import RunRecord
from comfreywind.scheduling.scheduler_state import SchedulerState

# A target that works reports every second, and counts as silent after 1.8 s. What an older report
# has shown at work may have ended.
REPORT_AGE_LIMIT_S = 2.0


def may_miss_task(scheduler_state: SchedulerState, run: RunRecord, now_s: float) -> bool:
    """Return whether the step of a run may miss its task, whatever makes others unavailable.

    The callers of a service notice only how many of its tasks are at work. Those on targets that
    were not heard of lately are counted as unavailable.
    """
    record = scheduler_state.jobs.get(run.key.job_id)
    if record is None:
        return False
    step = record.job.steps[run.key.step]
    if not step.unavailable_limit:
        return True
    others_at_work = _count_others_at_work(scheduler_state, record, run, now_s)
    return step.task_count - 1 - others_at_work < step.unavailable_limit


def _count_others_at_work(
    scheduler_state: SchedulerState, record: JobRecord, run: RunRecord, now_s: float
) -> int:
    step_key = (run.key.occurrence, run.key.step)
    return sum(
        other.at_work and _is_heard(scheduler_state, other, now_s)
        for other in record.runs.values()
        if other is not run and (other.key.occurrence, other.key.step) == step_key
    )


def _is_heard(scheduler_state: SchedulerState, run: RunRecord, now_s: float) -> bool:
    target = scheduler_state.targets.get(run.target_id)
    if target is None or target.silent or not target.doubt.settled:
        return False
    return now_s - target.heard_s <= REPORT_AGE_LIMIT_S
