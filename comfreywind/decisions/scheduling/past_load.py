"""Reconstructs the load of a pool from the jobs that it was given lately."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from comfreywind.decisions.scheduling.placement import compute_effective_request
from comfreywind.decisions.scheduling.work_order import estimate_task_ms
from comfreywind.jobs.job import Job
from comfreywind.jobs.resources import NO_RESOURCES, Resources

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class PastWork:
    """What the tasks of one step take together, from its start to its end by the estimates."""

    start_ms: float
    end_ms: float
    total: Resources

    def compute_vm_seconds(self, vm_size: Resources) -> float:
        """Return for how many seconds the work would fill one VM of that size."""
        return self.total.find_largest_part(vm_size) * (self.end_ms - self.start_ms) / MS_PER_S


def list_past_work(job: Job) -> list[PastWork]:
    """Return the work of a job as if every step had run when its turn came.

    Timed and lasting jobs are no part of a demand that comes by turns and have none.
    """
    if job.lasting or job.occurrence_count:
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
    """Yield the time and the load in equal steps of time; work begun before `from_ms` is left out."""
    changes: dict[int, Resources] = {}
    for work in works:
        if not from_ms <= work.start_ms <= to_ms:
            continue
        first = int((work.start_ms - from_ms) // interval_ms)
        end = max(first + 1, int((work.end_ms - from_ms) // interval_ms))
        changes[first] = changes.get(first, NO_RESOURCES).add(work.total)
        changes[end] = changes.get(end, NO_RESOURCES).subtract(work.total)
    load = NO_RESOURCES
    for number in range(int((to_ms - from_ms) // interval_ms)):
        load = load.add(changes.get(number, NO_RESOURCES))
        yield from_ms + number * interval_ms, load
