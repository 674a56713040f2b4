"""Reconstructs the recent load of a pool from the jobs that it was given."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from comfreywind.decisions.scheduling.placement import compute_effective_request
from comfreywind.decisions.scheduling.work_order import estimate_task_ms
from comfreywind.jobs.job import Job
from comfreywind.jobs.resources import NO_RESOURCES, Resources

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class PastWork:
    """The resources that all tasks of one step use together, between its estimated times."""

    start_ms: float
    end_ms: float
    total: Resources

    def compute_vm_seconds(self, vm_size: Resources) -> float:
        """Return for how many seconds the work would fill one VM of that size."""
        return self.total.compute_dominant_share(vm_size) * (self.end_ms - self.start_ms) / MS_PER_S


def list_past_work(job: Job) -> list[PastWork]:
    """Return the work of a job as if each step had started as soon as the steps before it ended.

    Jobs with timed occurrences and long-running jobs don't cause bursts of demand, so the list is
    empty for them.
    """
    if job.long_running or job.occurrence_count:
        return []
    works: list[PastWork] = []
    for step in job.steps:
        start_ms = max((works[earlier].end_ms for earlier in step.after), default=job.accepted_ms)
        request = compute_effective_request(step)
        total = Resources(
            request.cpu_millicores * step.task_count,
            request.memory_mb * step.task_count,
            request.accelerators * step.task_count,
        )
        works.append(PastWork(start_ms, start_ms + estimate_task_ms(step), total))
    return works


def sample_load(
    works: Iterable[PastWork], from_ms: float, to_ms: float, interval_ms: float
) -> Iterator[tuple[float, Resources]]:
    """Yield the time and the load at equal intervals; work started before `from_ms` is left out."""
    changes: dict[int, Resources] = {}
    for work in works:
        if not from_ms <= work.start_ms <= to_ms:
            continue
        start_index = int((work.start_ms - from_ms) // interval_ms)
        end_index = max(start_index + 1, int((work.end_ms - from_ms) // interval_ms))
        changes[start_index] = changes.get(start_index, NO_RESOURCES).add(work.total)
        changes[end_index] = changes.get(end_index, NO_RESOURCES).subtract(work.total)
    load = NO_RESOURCES
    for index in range(int((to_ms - from_ms) // interval_ms)):
        load = load.add(changes.get(index, NO_RESOURCES))
        yield from_ms + index * interval_ms, load
