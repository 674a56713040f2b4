"""Emulates callers that are refused, and teams beyond their share."""

import random
from dataclasses import replace
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
from comfreywind.jobs.team import Team
from comfreywind.lab.arrival import Arrival
from comfreywind.lab.emulator import Emulator
from comfreywind.lab.fleet_model import FleetModel
from comfreywind.lab.lab_policy import LabPolicy
from comfreywind.scheduling.excess_marks import mark_excess
from comfreywind.scheduling.queue_wait import QueueWait
from comfreywind.scheduling.wait_estimator import WaitEstimator

MS_PER_S = 1000
VM_MILLICORES = 64_000
# As nodes see them: taken every 0.5 s, and read a while later.
FIGURES_INTERVAL_S = 0.5
FIGURES_DELAY_S = 0.3
FIGURES_END_S = 60
RETRIES = 4


class AdmissionEmulator(Emulator):
    """One pool of fixed size; refused callers return after `Retry-After`, up to four times.

    `marking` and `refusing` switch the two effects of the waits on.
    """

    def __init__(
        self,
        arrivals: list[Arrival],
        pool: str,
        vms: int,
        marking: bool,
        refusing: bool,
        seed: int = 1,
    ) -> None:
        """Prepare the pool."""
        model = FleetModel({pool: vms}, vm_millicores=VM_MILLICORES)
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
