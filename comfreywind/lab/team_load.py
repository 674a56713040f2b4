"""Jobs of several teams, of which some send more at times than their pool can do."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from comfreywind.jobs.job import Job
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.lab.arrival import Arrival

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """How often one team hands in jobs: triples of start, end and jobs a second."""

    team: str
    rates: tuple[tuple[float, float, float], ...]

    def find_rate(self, time_s: float) -> float:
        """Return the rate at that time."""
        return sum(rate for start_s, end_s, rate in self.rates if start_s <= time_s < end_s)


def make_team_queue(team: str, pool: str) -> Queue:
    """Return the queue of a team, so that the lab counts what each team earns."""
    return Queue(
        team,
        'lab.example',
        f'/{team}/',
        pool,
        attempt_limit=3,
        stretch_factor=1.9,
        latency_objective_ms=600,
    )


def draw_team_arrivals(
    loads: Iterable[TeamLoad], pool: str, length_s: float, seed: int
) -> list[Arrival]:
    """Return jobs of 1 or 2 steps of 8 tasks of 0.85 to 2.1 s on 6 to 13 cores."""
    arrivals: list[Arrival] = []
    for load in loads:
        source = random.Random(f'{seed}/{load.team}')
        peak = max(rate for _, _, rate in load.rates)
        time_s = source.expovariate(peak)
        while time_s < length_s:
            if source.random() * peak < load.find_rate(time_s):
                arrivals.append(_draw_job(load, pool, time_s, len(arrivals), source))
            time_s += source.expovariate(peak)
    return sorted(arrivals, key=lambda arrival: arrival.time_s)


def _draw_job(
    load: TeamLoad, pool: str, time_s: float, number: int, source: random.Random
) -> Arrival:
    steps: list[Step] = []
    durations_s: list[tuple[float, ...]] = []
    for index in range(source.choice((1, 2, 2))):
        task_s = source.uniform(0.85, 2.1)
        request = Resources(source.randint(6, 13) * 1000, 2000)
        estimate_ms = int(task_s * MS_PER_S * source.uniform(0.7, 1.3))
        steps.append(Step(8, request, estimate_ms, (index - 1,) if index else ()))
        durations_s.append((task_s,) * 8)
    queue = make_team_queue(load.team, pool)
    job = Job(f'{number:016x}', load.team, queue, '', tuple(steps), int(time_s * MS_PER_S))
    return Arrival(time_s, job, tuple(durations_s), 1)
