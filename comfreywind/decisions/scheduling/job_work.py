"""Estimates the work of a job for the pool that runs it."""

from comfreywind.decisions.scheduling.placement import compute_effective_request
from comfreywind.decisions.scheduling.work_order import estimate_task_ms
from comfreywind.jobs.job import Job
from comfreywind.jobs.resources import Resources, sum_resources
from comfreywind.jobs.step import Step

MS_PER_S = 1000


def scale_resources(amount: Resources, factor: float) -> Resources:
    """Return a multiple of an amount, rounded down."""
    return Resources(
        int(amount.cpu_millicores * factor),
        int(amount.memory_mb * factor),
        int(amount.accelerators * factor),
    )


def measure_step_work(step: Step, task_count: int) -> Resources:
    """Return the work of some tasks of a step in resources times milliseconds."""
    return scale_resources(compute_effective_request(step), task_count * estimate_task_ms(step))


def measure_job_work(job: Job) -> Resources:
    """Return the work of one occurrence of a job in resources times milliseconds."""
    return sum_resources(measure_step_work(step, step.task_count) for step in job.steps)


def compute_work_s(work: Resources, capacity: Resources) -> float:
    """Return for how long such work fills a capacity; the scarcest resource decides."""
    return work.compute_dominant_share(capacity) / MS_PER_S


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
