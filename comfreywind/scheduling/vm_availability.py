"""Whether the tasks on a target allow its VM to go down, by the scheduler state."""

from comfreywind.decisions.scheduling.maintenance import StepHealth
from comfreywind.jobs.task_key import TaskKey
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord


def count_short_runs(scheduler_state: SchedulerState, target: TargetRecord) -> int:
    """Return the number of runs on the target that are not of long-running tasks."""
    return sum(not _is_long_running(scheduler_state, run.key) for run in target.runs.values())


def list_step_health(scheduler_state: SchedulerState, target: TargetRecord) -> list[StepHealth]:
    """Return the health of the long-running steps that have tasks on the target."""
    steps = {
        (run.key.job_id, run.key.occurrence, run.key.step)
        for run in target.runs.values()
        if _is_long_running(scheduler_state, run.key)
    }
    return [get_step_health(scheduler_state, *step) for step in steps]


def evict_colocated(
    scheduler_state: SchedulerState, target: TargetRecord, now_s: float
) -> list[Order]:
    """Return stop orders for long-running tasks that keep a VM up, at most one for each step.

    A VM can't go down with more tasks of a step than may be unavailable at the same time.
    """
    orders: list[Order] = []
    evicted: set[tuple[str, int, int]] = set()
    for run in list(target.runs.values()):
        step_key = (run.key.job_id, run.key.occurrence, run.key.step)
        if step_key in evicted or not run.at_work or not _is_long_running(scheduler_state, run.key):
            continue
        health = get_step_health(scheduler_state, *step_key)
        count_on_target = health.at_work_on[target.entry.target_id]
        if count_on_target > health.limit and health.unavailable < health.limit:
            evicted.add(step_key)
            orders.extend(scheduler_state.stop_run(run, now_s))
    return orders


def _is_long_running(scheduler_state: SchedulerState, key: TaskKey) -> bool:
    record = scheduler_state.jobs.get(key.job_id)
    return record is not None and record.open and record.job.steps[key.step].long_running


def get_step_health(
    scheduler_state: SchedulerState, job_id: str, occurrence: int, number: int
) -> StepHealth:
    """Return the health of a step of an open job."""
    record = scheduler_state.jobs[job_id]
    step = record.job.steps[number]
    at_work_on: dict[str, int] = {}
    for run in record.runs.values():
        if (run.key.occurrence, run.key.step) == (occurrence, number) and run.at_work:
            at_work_on[run.target_id] = at_work_on.get(run.target_id, 0) + 1
    unavailable = step.task_count - sum(at_work_on.values())
    return StepHealth(step.unavailable_limit, unavailable, at_work_on)
