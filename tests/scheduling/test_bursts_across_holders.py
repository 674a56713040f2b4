"""Bursts of demand that recur after a change of the holder."""

import pytest

from comfreywind.decisions.scheduling.past_load import PastWork, list_past_work, sample_load
from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.pool import Pool
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.jobs.vm import Vm
from comfreywind.scheduling.pool_sizer import PoolSizer
from tests.helpers.scheduler_harness import POOL, SchedulerHarness, make_job

POOLS = (Pool(POOL), Pool('standby', standby=True))
TASK = Resources(1000, 100)
# A pool of 4 VMs of 4 cores; the previous burst took 32 cores, 8 VMs.
BURST_TASKS = 32
POLICY = PoolPolicy(base_part=0, spare_vms=0, smallest_pool=1, target_fill=1, growth_limit=1)
NOW_MS = 1_000_000


def make_vms() -> dict[str, Vm]:
    """Return the VMs of the pool, and as many in standby as it may need."""
    size = Resources(4000, 10_000)
    own = {f'vm{n}': Vm(f'vm{n}', POOL, True, 'dc', frozenset(), size, f't{n}') for n in range(4)}
    return own | {
        f'idle{n}': Vm(f'idle{n}', 'standby', True, 'dc', frozenset(), size, f'off{n}')
        for n in range(20)
    }


def add_ended_burst(harness: SchedulerHarness, ago_ms: int) -> None:
    """Add the jobs of a burst that ended under an earlier holder."""
    for number in range(BURST_TASKS):
        job = make_job(
            Step(1, TASK, estimate_ms=1000),
            job_id=f'{number:016x}',
            accepted_ms=NOW_MS - ago_ms,
        )
        harness.scheduler_state.add_job(
            job, Progress(JobState.COMPLETE, {(0, 0, 0)}), 1, reconciled=True
        )


@pytest.mark.parametrize(
    ('ago_ms', 'moves'),
    [
        pytest.param(20_000, 4, id='known burst'),
        pytest.param(90_000, 0, id='forgotten burst'),
    ],
)
def test_next_burst_after_change_of_holder(ago_ms: int, moves: int) -> None:
    """After a change of the holder, a pool still grows to the peak of the last burst at once."""
    harness = SchedulerHarness(targets=4)
    add_ended_burst(harness, ago_ms)
    sizer = PoolSizer(harness.scheduler_state, POLICY)
    sizer.replay_past_load(harness.now_s, NOW_MS)
    sizer.choose(POOLS, make_vms(), harness.now_s)
    harness.now_s += 1
    for number in range(8):
        harness.add_job(make_job(Step(1, TASK), job_id=f'f{number:015x}'))
    harness.start()
    into_pool = [
        move for move in sizer.choose(POOLS, make_vms(), harness.now_s) if move.pool == POOL
    ]
    assert len(into_pool) == moves


def test_burst_in_progress_at_change_of_holder() -> None:
    """The end of a burst isn't mistaken for the start of another one."""
    harness = SchedulerHarness(targets=4)
    add_ended_burst(harness, 100)
    sizer = PoolSizer(harness.scheduler_state, POLICY)
    sizer.replay_past_load(harness.now_s, NOW_MS)
    moves = sizer.choose(POOLS, make_vms(), harness.now_s)
    assert [move for move in moves if move.pool == POOL] == []


def test_steps_follow_each_other() -> None:
    """The steps of a job count one after another, not all at once."""
    job = make_job(
        Step(2, TASK, estimate_ms=400),
        Step(4, TASK, estimate_ms=200, after=(0,)),
        accepted_ms=1000,
    )
    assert list_past_work(job) == [
        PastWork(1000, 1400, Resources(2000, 200)),
        PastWork(1400, 1600, Resources(4000, 400)),
    ]
    cores = [
        (at_ms, load.cpu_millicores // 1000)
        for at_ms, load in sample_load(list_past_work(job), 800, 1800, 200)
    ]
    assert cores == [(800, 0), (1000, 2), (1200, 2), (1400, 4), (1600, 0)]


@pytest.mark.parametrize(
    'fields', [{'occurrence_count': 3, 'interval_ms': 100}, {'long_running': True}], ids=str
)
def test_other_jobs_are_no_burst(fields: dict[str, int]) -> None:
    """Timed and long-running jobs don't count as a burst."""
    long_running = bool(fields.pop('long_running', False))
    assert list_past_work(make_job(Step(1, TASK, long_running=long_running), **fields)) == []
