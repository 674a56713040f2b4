"""The waits by queue and team, from the holder's state of jobs and targets."""

from dataclasses import replace

import pytest

from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.team import Team
from comfreywind.scheduling.queue_wait import QueueWait
from comfreywind.scheduling.wait_estimator import WaitEstimator
from tests.helpers.scheduler_harness import QUEUE, STEP, SchedulerHarness, make_job

OFFERED = replace(QUEUE, latency_objective_ms=600)
LOW = replace(OFFERED, name='low', prefix='/low/', priority=1)
# Two targets of 4 cores do 8 such tasks at a time.
LONG = replace(STEP, estimate_ms=10_000)


class Pool:
    """A pool of two targets of 4 cores, and two teams; `small` always has one job of 1 s."""

    def __init__(self, large: Team = Team('large')) -> None:
        """Add the job of the small team."""
        self.harness = SchedulerHarness()
        self.state = self.harness.scheduler_state
        teams = {team.name: team for team in (large, Team('small'))}
        self.state.rules = JobRules(1, queues={OFFERED.name: OFFERED, 'low': LOW}, teams=teams)
        self.estimator = WaitEstimator(self.state)
        self.jobs = 0
        self.add('small')

    def add(self, team: str, tasks: int = 1, **fields: object) -> None:
        """Add a job of a team that was accepted just now."""
        self.jobs += 1
        step = replace(LONG if tasks > 1 else STEP, task_count=tasks)
        accepted_ms = int(self.harness.now_s * 1000)
        job = make_job(step, job_id=f'{self.jobs:016x}', team=team, accepted_ms=accepted_ms)
        self.harness.add_job(replace(job, **{'queue': OFFERED, **fields}))  # type: ignore[arg-type]

    def estimate(self, arriving: int = 0) -> dict[str, QueueWait]:
        """Return the waits now."""
        return self.estimator.estimate({QUEUE.pool: arriving}, self.harness.now_s * 1000)

    def get_wait_s(self, arriving: int = 0) -> float:
        """Return the wait of the large team, which is the only one beyond its share."""
        (wait_s,) = self.estimate(arriving)[QUEUE.name].team_waits_s.values()
        return wait_s


def test_one_team_sends_seven_times_its_usual() -> None:
    """Only the team that sends too much is listed, with what the others take of their shares."""
    pool = Pool()
    assert pool.estimate() == {}
    pool.add('large', tasks=56)
    assert pool.get_wait_s() == pytest.approx(70 + 1 / 8)
    assert list(pool.estimate()[QUEUE.name].team_waits_s) == ['large']


def test_all_queues_in_turn_at_five_times_their_mean() -> None:
    """While all teams ask for more than there is, nobody is listed, so that nobody is refused."""
    pool = Pool()
    pool.add('large', tasks=40)
    pool.add('small', tasks=40)
    assert pool.estimate() == {}


def test_pool_loses_half_of_its_targets() -> None:
    """What is lost no longer counts, and the wait of a pool without any target is not known."""
    pool = Pool()
    pool.add('large', tasks=56)
    pool.state.targets['t0'].silent = True
    assert pool.get_wait_s() == pytest.approx(140 + 1 / 4)
    assert pool.get_wait_s(arriving=1) == pytest.approx(70 + 1 / 8), 'a VM is on its way'
    pool.state.targets['t1'].leaving = True
    assert pool.estimate() == {}


def test_work_that_has_begun() -> None:
    """Tasks that run or are done are not ahead in full, or a pool at work would seem overloaded."""
    pool = Pool()
    pool.add('large', tasks=56)
    pool.harness.start()
    assert pool.get_wait_s() == pytest.approx(70 - 4.4, abs=0.5)


def test_long_running_tasks() -> None:
    """They take capacity; counted as work, a task without an end would lead to refusals for ever."""
    pool = Pool()
    pool.add('large', steps=(replace(STEP, request=Resources(4000, 100), long_running=True),))
    pool.harness.start()
    assert pool.estimate() == {}
    pool.add('large', tasks=56)
    assert pool.get_wait_s() == pytest.approx(140, abs=1)


def test_hopeless_jobs() -> None:
    """Jobs without any value left are done last, so they must not keep others out."""
    pool = Pool()
    pool.add('large', tasks=56)
    pool.harness.now_s += 60
    pool.add('small')
    assert pool.estimate() == {}


def test_occurrences_that_are_not_due() -> None:
    """A job of many occurrences over hours is no backlog."""
    pool = Pool()
    times = {'occurrence_count': 100, 'first_due_ms': 0, 'interval_ms': 3_600_000}
    pool.add('large', tasks=2, **times)
    pool.harness.start()
    assert pool.estimate() == {}


def test_priorities() -> None:
    """A queue is not delayed by the work of queues behind it."""
    pool = Pool()
    pool.add('small', queue=LOW)
    pool.add('large', tasks=56, queue=LOW)
    assert list(pool.estimate()) == ['low']


def test_ceiling() -> None:
    """A team with a ceiling waits for its own work, however idle the pool is."""
    pool = Pool(Team('large', ceiling=Resources(cpu_millicores=1000)))
    pool.add('large', tasks=2)
    assert pool.get_wait_s() == pytest.approx(20)
