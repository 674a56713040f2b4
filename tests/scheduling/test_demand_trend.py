"""Forecast of a demand that rises faster than VMs move, as in the first burst of a queue."""

import random

import pytest

from comfreywind.decisions.scheduling.demand_trend import DemandTrend
from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.scheduling.demand_watch import DemandWatch
from comfreywind.scheduling.pool_work import group_by_pool
from tests.helpers.scheduler_harness import POOL, SchedulerHarness, make_job

INTERVAL_S = 0.2
LEAD_S = 1.7


def add_samples(trend: DemandTrend, work_vm_s: list[float], jobs: int = 20) -> None:
    """Add a sample for each interval, with its work divided evenly among the jobs."""
    for number, work in enumerate(work_vm_s):
        trend.add_sample(number * INTERVAL_S, [work / jobs] * jobs)


def test_ramp_is_forecast() -> None:
    """A rising demand is forecast for the time when VMs ordered now take work.

    A burst that rises by 10 VMs per second is at 20 VMs after 2 s, and at 37 when the VMs arrive.
    """
    trend = DemandTrend()
    add_samples(trend, [10 * number * INTERVAL_S**2 for number in range(11)])
    assert 29 < trend.forecast_vms(LEAD_S) < 40


@pytest.mark.parametrize(
    'work_vm_s',
    [
        pytest.param([2.0] * 8, id='steady'),
        pytest.param([2.0, 1.8, 1.6, 1.4, 1.2, 1.0, 0.8, 0.6], id='falling'),
        pytest.param([], id='none'),
    ],
)
def test_no_rise(work_vm_s: list[float]) -> None:
    """No load is forecast for a demand that is steady or falls."""
    trend = DemandTrend()
    add_samples(trend, work_vm_s)
    assert trend.forecast_vms(LEAD_S) == 0


def test_one_large_job_is_no_rise() -> None:
    """A single large job isn't a rise of the demand."""
    trend = DemandTrend()
    for number in range(9):
        trend.add_sample(number * INTERVAL_S, [50] if number == 8 else [])
    assert trend.forecast_vms(LEAD_S) == pytest.approx(0)


def test_chance_is_rarely_a_rise() -> None:
    """Random variation of a steady demand rarely counts as a rise, for which VMs would move."""
    generator = random.Random(17)
    trend = DemandTrend()
    forecasts_vms = []
    for number in range(2000):
        jobs_count = sum(generator.random() < 0.2 for _ in range(20))
        trend.add_sample(number * INTERVAL_S, [generator.expovariate(1) for _ in range(jobs_count)])
        forecasts_vms.append(trend.forecast_vms(LEAD_S))
    assert sum(vms > 0 for vms in forecasts_vms) / len(forecasts_vms) < 0.03


@pytest.mark.parametrize('removed_per_sample', [0, 30])
@pytest.mark.parametrize(('growth_limit', 'least_vms', 'most_vms'), [(3, 15, 23), (1.2, 12, 12)])
def test_pool_grows_ahead_of_the_ramp(
    growth_limit: float, least_vms: float, most_vms: float, removed_per_sample: int
) -> None:
    """A pool grows ahead of a first burst, whose jobs would wait for VMs all through its rise.

    Seen on the recorded days of prevoz-plan-large and villacres-quito-grown: bursts rise for 2 to
    3 s and a move takes 1.7 s, so half of the jobs of the first seconds were late.
    """
    harness = SchedulerHarness(targets=4)
    old = [f'ff{number:014x}' for number in range(10 * removed_per_sample)]
    for job_id in old:
        harness.add_job(make_job(job_id=job_id))
        harness.scheduler_state.cancel_job(job_id)
    watch = DemandWatch(harness.scheduler_state, PoolPolicy(growth_limit=growth_limit))
    for sample in range(10):
        # One more job in each sample than in the one before; a job fills a quarter of a VM for 1 s.
        for number in range(sample + 1):
            job = make_job(Step(1, Resources(1000, 100)), job_id=f'{sample:08x}{number:08x}')
            harness.add_job(job)
        for job_id in old[sample * removed_per_sample :][:removed_per_sample]:
            harness.scheduler_state.drop_job(job_id)
        watch.record_new_jobs(group_by_pool(harness.scheduler_state), sample * INTERVAL_S)
    load_vms = sum(range(6, 11)) / 4
    expected_vms = watch.forecast_load_vms(POOL, load_vms, LEAD_S)
    # The load is 10 VMs and will be 23 when VMs ordered now take work.
    assert least_vms <= expected_vms <= most_vms
