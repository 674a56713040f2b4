"""Estimates, from the scheduler state, how long work handed in now would wait in each queue."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from comfreywind.decisions.job_admission import compute_lowest_wait_s
from comfreywind.decisions.scheduling.fair_wait import (
    TeamBacklog,
    compute_fair_waits,
    list_teams_beyond_share,
)
from comfreywind.decisions.scheduling.job_work import (
    compute_work_s,
    measure_step_work,
    scale_resources,
)
from comfreywind.decisions.scheduling.work_order import estimate_task_ms
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.resources import NO_RESOURCES, Resources, sum_resources
from comfreywind.jobs.team import Team
from comfreywind.scheduling.job_record import JobRecord
from comfreywind.scheduling.pool_work import compute_mean_capacity
from comfreywind.scheduling.queue_wait import QueueWait
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord

# What is left of a run on average.
RUN_PART_LEFT = 0.5


@dataclass(slots=True)
class PoolFigures:
    """What a pool has for jobs that end, and their open work in resources times milliseconds.

    The work is kept by the priority of the queue and the team.
    """

    capacity: Resources
    work: dict[tuple[int, str], Resources] = field(default_factory=dict)

    def add(self, priority: int, team: str, work: Resources) -> None:
        """Add open work of a team."""
        self.work[priority, team] = self.work.get((priority, team), NO_RESOURCES).add(work)


class WaitEstimator:
    """Derives the waits from the open jobs.

    The work of a job that has not begun is kept: in a burst most of the jobs are such, and
    estimating 3,000 jobs anew would take a tenth of a processor.
    """

    def __init__(self, state: SchedulerState) -> None:
        """Estimate for the jobs and targets of a scheduler state."""
        self._state = state
        self._work_by_job: dict[str, Resources] = {}

    def estimate(self, arriving: Mapping[str, int], now_ms: float) -> dict[str, QueueWait]:
        """Return the waits of the queues that have teams beyond their share.

        `arriving` is the number of VMs on their way to each pool. A pool without any targets is
        left out, because it is not known what it is about to get.
        """
        pools = self._measure_pools(arriving)
        self._add_open_work(pools, now_ms)
        waits: dict[str, QueueWait] = {}
        for queue in self._state.rules.queues.values():
            pool = pools.get(queue.pool)
            wait = pool and _make_queue_wait(queue, pool, self._state.rules.teams)
            if wait and wait.team_waits_s:
                waits[queue.name] = wait
        return waits

    def _add_open_work(self, pools: Mapping[str, PoolFigures], now_ms: float) -> None:
        kept_work: dict[str, Resources] = {}
        for record in self._state.open_jobs.values():
            queue = self._state.rules.queues.get(record.job.queue.name, record.job.queue)
            pool = pools.get(queue.pool)
            if pool is not None and not _is_left_out(record, now_ms):
                work = self._measure_work(record, kept_work)
                pool.add(queue.priority, record.job.team, work)
        self._work_by_job = kept_work

    def _measure_work(self, record: JobRecord, kept_work: dict[str, Resources]) -> Resources:
        """Return the open work of a job, and keep it in `kept_work` until the job begins."""
        if record.runs or record.progress.done or record.job.occurrence_count:
            return _measure_open_work(record)
        work = self._work_by_job.get(record.job.job_id)
        if work is None:
            work = _measure_open_work(record)
        kept_work[record.job.job_id] = work
        return work

    def _measure_pools(self, arriving: Mapping[str, int]) -> dict[str, PoolFigures]:
        targets_by_pool: dict[str, list[TargetRecord]] = {}
        for target in self._state.targets.values():
            if not _is_leaving(target):
                targets_by_pool.setdefault(target.entry.pool, []).append(target)
        return {
            pool: PoolFigures(_measure_capacity(targets, arriving.get(pool, 0)))
            for pool, targets in targets_by_pool.items()
        }


def _is_leaving(target: TargetRecord) -> bool:
    return target.silent or target.leaving or target.emptying or target.entry.draining


def _measure_capacity(targets: list[TargetRecord], arriving: int) -> Resources:
    """Return what the targets and the VMs on their way have beside long-running tasks."""
    total = sum_resources(target.entry.capacity for target in targets)
    mean = compute_mean_capacity(targets)
    long_running = sum_resources(
        run.reserved for target in targets for run in target.runs.values() if run.long_running
    )
    rest = total.add(scale_resources(mean, arriving)).subtract(long_running)
    # Nothing is estimated by a resource of which long-running tasks have taken all.
    return Resources(max(0, rest.cpu_millicores), max(0, rest.memory_mb), max(0, rest.accelerators))


def _is_left_out(record: JobRecord, now_ms: float) -> bool:
    """Return whether a job takes no capacity from one that is handed in now.

    Long-running jobs reduce the capacity instead. A job that can't be on time any more is scheduled
    behind all that can, and so behind a new one.
    """
    if record.job.long_running:
        return True
    since_ms = max(record.job.accepted_ms, record.job.first_due_ms)
    return now_ms + record.remaining_ms > since_ms + record.objective_ms


def _measure_open_work(record: JobRecord) -> Resources:
    """Return the work of the tasks that are not done; occurrences that are not due don't count."""
    work = NO_RESOURCES
    for step_key, count in record.open_tasks_by_step.items():
        if count and (step_key in record.unlocked or not record.job.occurrence_count):
            step = record.job.steps[step_key[1]]
            work = work.add(measure_step_work(step, count))
    for run in record.runs.values():
        done_ms = estimate_task_ms(record.job.steps[run.key.step]) * (1 - RUN_PART_LEFT)
        work = work.subtract(scale_resources(run.reserved, done_ms))
    return work


def _make_queue_wait(queue: Queue, pool: PoolFigures, teams: Mapping[str, Team]) -> QueueWait:
    """Return the wait of a queue, with the teams whose wait may lead to a refusal."""
    work_by_team: dict[str, Resources] = {}
    for (priority, team), work in pool.work.items():
        if priority <= queue.priority and work != NO_RESOURCES:
            work_by_team[team] = work_by_team.get(team, NO_RESOURCES).add(work)
    backlogs = {
        team: _make_backlog(work, teams.get(team, Team(team)), pool.capacity)
        for team, work in work_by_team.items()
    }
    bearable_s = compute_lowest_wait_s(queue.latency_objective_ms)
    return QueueWait(
        sum(backlog.work_s for backlog in backlogs.values()),
        pool.capacity,
        list_teams_beyond_share(compute_fair_waits(backlogs), bearable_s),
    )


def _make_backlog(work: Resources, team: Team, capacity: Resources) -> TeamBacklog:
    ceiling_share = team.ceiling.compute_dominant_share(capacity)
    return TeamBacklog(
        compute_work_s(work, capacity),
        team.weight,
        min(1, ceiling_share or 1),
    )
