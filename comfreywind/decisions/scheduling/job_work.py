"""Estimates the work of a job for the pool that runs it."""

from comfreywind.decisions.scheduling.placement import compute_effective_request
from comfreywind.decisions.scheduling.work_order import estimate_task_ms
from comfreywind.jobs.job import Job
from comfreywind.jobs.resources import Resources

MS_PER_S = 1000


def estimate_work_vm_s(job: Job, vm_size: Resources) -> float:
    """Return for how many seconds the job would fill one VM of that size, by its estimates.

    It is 0 for jobs with timed occurrences and long-running jobs, which don't come in bursts.
    """
    if job.long_running or job.occurrence_count:
        return 0
    return sum(
        step.task_count
        * compute_effective_request(step).compute_dominant_share(vm_size)
        * estimate_task_ms(step)
        / MS_PER_S
        for step in job.steps
    )
