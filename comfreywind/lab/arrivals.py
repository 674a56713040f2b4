"""Draws the jobs of a demand."""

import random
from collections.abc import Iterable

from comfreywind.jobs.job import Job
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.lab.arrival import Arrival
from comfreywind.lab.demand import Demand

MS_PER_S = 1000
MOST_STEPS = 4
MOST_TASKS = 32
SHORTEST_TASK_S = 0.1
# Sizes stay under this multiple of their mean, as no task is larger than a target.
MOST_SIZE = 3


def draw_arrivals(
    demands: Iterable[Demand], length_s: float, seed: int, lead_s: float = 0
) -> list[Arrival]:
    """Return the jobs of all queues in the order of their times, the first after `lead_s`."""
    arrivals: list[Arrival] = []
    for number, demand in enumerate(demands):
        source = random.Random(f'{seed}/{demand.queue}')
        time_s: float = 0
        while time_s < length_s:
            time_s += source.expovariate(demand.jobs_per_s * max(demand.peak, 1))
            # Thinning: a time of the highest rate is kept with the part that applies then.
            kept = source.random() * max(demand.peak, 1) * demand.jobs_per_s
            if time_s < length_s and kept < demand.find_rate(time_s):
                job_id = f'{number:04x}{len(arrivals):012x}'
                arrivals.append(_draw_job(demand, lead_s + time_s, job_id, source))
    return sorted(arrivals, key=lambda arrival: arrival.time_s)


def make_queue(demand: Demand) -> Queue:
    """Return the queue of a demand; its pool has the queue's name."""
    return Queue(
        demand.queue,
        'lab.example',
        f'/{demand.queue}/',
        demand.queue,
        priority=demand.priority,
        attempt_limit=3,
        stretch_factor=demand.stretch_factor,
        latency_objective_ms=demand.latency_objective_ms,
    )


def _draw_job(demand: Demand, time_s: float, job_id: str, source: random.Random) -> Arrival:
    step_count = _draw_count(source, demand.mean_steps, demand.count_spread, MOST_STEPS)
    steps: list[Step] = []
    durations_s: list[tuple[float, ...]] = []
    for number in range(step_count):
        task_count = _draw_count(source, demand.mean_tasks, demand.count_spread, MOST_TASKS)
        mean_s = max(SHORTEST_TASK_S, _spread(source, demand.task_s, demand.duration_spread))
        durations_s.append(tuple(mean_s for _ in range(task_count)))
        steps.append(_draw_step(demand, source, task_count, mean_s, number))
    accepted_ms = int(time_s * MS_PER_S)
    job = Job(job_id, '', make_queue(demand), '', tuple(steps), accepted_ms)
    work = sum(sum(step) for step in durations_s)
    mean_work = demand.mean_steps * demand.mean_tasks * demand.task_s
    return Arrival(
        time_s, job, tuple(durations_s), demand.worth * min(4, 0.3 + 0.7 * work / mean_work)
    )


def _draw_step(
    demand: Demand, source: random.Random, task_count: int, mean_s: float, number: int
) -> Step:
    request = Resources(
        int(_spread(source, demand.task_millicores, demand.size_spread)),
        int(_spread(source, demand.task_memory_mb, demand.size_spread)),
    )
    estimate_ms = int(mean_s * MS_PER_S * _spread(source, 1, demand.estimate_error))
    after = (number - 1,) if number else ()
    return Step(task_count, request, estimate_ms=max(1, estimate_ms), after=after)


def _spread(source: random.Random, mean: float, part: float) -> float:
    """Draw around the mean; `part` is the deviation of the logarithm."""
    return min(source.lognormvariate(-part * part / 2, part), MOST_SIZE) * mean


def _draw_count(source: random.Random, mean: float, part: float, most: int) -> int:
    return max(1, min(most, round(_spread(source, mean, part))))
