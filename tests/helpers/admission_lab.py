"""Emulated callers of one pool, with and without refusals; the lab's emulator plays the rest."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import partial

from comfreywind.decisions.job_admission import (
    JobOutlook,
    choose_retry_after_s,
    compute_overrun_s,
)
from comfreywind.decisions.scheduling.work_order import (
    compute_critical_path_ms,
    compute_objective_ms,
)
from comfreywind.jobs.job import Job
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.jobs.team import Team
from comfreywind.lab.arrival import Arrival
from comfreywind.lab.emulator import Emulator
from comfreywind.lab.fleet_model import FleetModel
from comfreywind.lab.lab_policy import LabPolicy
from comfreywind.scheduling.excess_marks import mark_excess
from comfreywind.scheduling.queue_wait import QueueWait
from comfreywind.scheduling.wait_estimator import WaitEstimator

POOL = 'north'
MS_PER_S = 1000
VM_CORES = 64
# As nodes see them: taken every 0.5 s, and read a while later.
FIGURES_INTERVAL_S = 0.5
FIGURES_DELAY_S = 0.3
FIGURES_END_S = 60
RETRIES = 4


@dataclass(frozen=True)
class Load:
    """How often one team hands in jobs, in jobs a second by the time."""

    team: str
    rates: tuple[tuple[float, float, float], ...]
    priority: int = 0

    def find_rate(self, time_s: float) -> float:
        """Return the rate at that time."""
        return sum(rate for start_s, end_s, rate in self.rates if start_s <= time_s < end_s)


def make_queue(team: str, priority: int = 0, pool: str = POOL) -> Queue:
    """Return the queue of a team, so that the lab counts what each team earns."""
    return Queue(
        team,
        'lab.example',
        f'/{team}/',
        pool,
        priority=priority,
        attempt_limit=3,
        stretch_factor=1.9,
        latency_objective_ms=600,
    )


def draw_arrivals(loads: Iterable[Load], length_s: float, seed: int) -> list[Arrival]:
    """Return jobs of 1 or 2 steps of 8 tasks of 0.85 to 2.1 s on 6 to 13 cores."""
    arrivals: list[Arrival] = []
    for load in loads:
        source = random.Random(f'{seed}/{load.team}')
        peak = max(rate for _, _, rate in load.rates)
        time_s = source.expovariate(peak)
        while time_s < length_s:
            if source.random() * peak < load.find_rate(time_s):
                arrivals.append(_draw_job(load, time_s, len(arrivals), source))
            time_s += source.expovariate(peak)
    return sorted(arrivals, key=lambda arrival: arrival.time_s)


def _draw_job(load: Load, time_s: float, number: int, source: random.Random) -> Arrival:
    steps: list[Step] = []
    durations_s: list[tuple[float, ...]] = []
    for index in range(source.choice((1, 2, 2))):
        task_s = source.uniform(0.85, 2.1)
        request = Resources(source.randint(6, 13) * 1000, 2000)
        estimate_ms = int(task_s * MS_PER_S * source.uniform(0.7, 1.3))
        steps.append(Step(8, request, estimate_ms, (index - 1,) if index else ()))
        durations_s.append((task_s,) * 8)
    queue = make_queue(load.team, load.priority)
    job = Job(f'{number:016x}', load.team, queue, '', tuple(steps), int(time_s * MS_PER_S))
    return Arrival(time_s, job, tuple(durations_s), 1)


class AdmissionEmulator(Emulator):
    """One pool of fixed size; refused callers return after `Retry-After`, up to four times.

    `marking` and `refusing` switch the two effects of the waits on.
    """

    def __init__(
        self, arrivals: list[Arrival], vms: int, marking: bool, refusing: bool, seed: int = 1
    ) -> None:
        """Prepare the pool."""
        model = FleetModel({POOL: vms}, vm_millicores=VM_CORES * 1000)
        super().__init__(model, arrivals, LabPolicy('fixed', None))
        teams = {arrival.job.team for arrival in arrivals}
        self._state.rules = replace(self._state.rules, teams={team: Team(team) for team in teams})
        self.refused_teams: list[str] = []
        self.lost = 0
        self._marking = marking
        self._refusing = refusing
        self._random = random.Random(seed)
        self._tries: dict[str, int] = {}
        self._waits: dict[str, QueueWait] = {}
        self._estimator = WaitEstimator(self._state)
        for tick in range(int(FIGURES_END_S / FIGURES_INTERVAL_S)):
            self._at(tick * FIGURES_INTERVAL_S, self._take_figures)

    def lose_half_at(self, time_s: float) -> None:
        """Let half of the VMs crash at that time; none of them comes back."""
        self._at(time_s, self._lose_half)

    def _lose_half(self) -> None:
        for vm in list(self._vms.values())[::2]:
            record = self._state.targets[vm.target_id]
            vm.up = False
            vm.runs.clear()
            record.leaving = True
            self._state.requeue_runs(record)
        self._wake()

    def _take_figures(self) -> None:
        waits = self._estimator.estimate({}, self._now_s * MS_PER_S)
        if self._marking:
            mark_excess(self._state, waits)
        self._at(self._now_s + FIGURES_DELAY_S, partial(self._show, waits))

    def _show(self, waits: dict[str, QueueWait]) -> None:
        self._waits = waits

    def _accept(self, arrival: Arrival) -> None:
        job = replace(arrival.job, accepted_ms=int(self._now_s * MS_PER_S))
        overrun_s = self._compute_overrun_s(job) if self._refusing else 0
        if not overrun_s:
            super()._accept(replace(arrival, job=job))
            return
        self.refused_teams.append(job.team)
        self._tries[job.job_id] = self._tries.get(job.job_id, 0) + 1
        if self._tries[job.job_id] > RETRIES:
            self.lost += 1
            return
        again_s = self._now_s + choose_retry_after_s(overrun_s, self._random.random())
        self._at(again_s, partial(self._accept, arrival))

    def _compute_overrun_s(self, job: Job) -> float:
        wait = self._waits.get(job.queue.name)
        wait_s = 0 if wait is None else wait.team_waits_s.get(job.team, 0)
        path_s = compute_critical_path_ms(job.steps) / MS_PER_S
        objective_s = compute_objective_ms(job) / MS_PER_S
        return compute_overrun_s(JobOutlook(wait_s, 0, 0, path_s, objective_s))
