"""Pools before the first jobs of a day."""

from dataclasses import replace

import pytest

from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.decisions.scheduling.pool_size import VmMove
from comfreywind.jobs.pool import Pool
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from comfreywind.jobs.vm import Vm
from comfreywind.scheduling.pool_sizer import PoolSizer
from tests.helpers.scheduler_harness import POOL, SchedulerHarness, make_job

POOLS = (Pool(POOL), Pool('standby', standby=True))
SIZE = Resources(4000, 10_000)
POLICY = PoolPolicy(
    base_part=0,
    spare_vms=0,
    smallest_pool=1,
    shrink_after_s=1,
    target_fill=1,
    initial_hold_s=20,
    first_demand_s=1,
)
INTERVAL_S = 0.2
SHORT_JOB = make_job(job_id='00000000000000b1')
LONG_RUNNING_JOB = make_job(Step(1, Resources(1000, 100), long_running=True))


def make_vms(standby: int = 0) -> dict[str, Vm]:
    """Return the VMs of a pool of 8 and some in standby."""
    vms = {f'vm{n}': Vm(f'vm{n}', POOL, True, 'dc', frozenset(), SIZE, f't{n}') for n in range(8)}
    idle = Vm('', 'standby', True, 'dc', frozenset(), SIZE, '')
    return vms | {
        f'idle{n}': replace(idle, name=f'idle{n}', target_id=f'off{n}') for n in range(standby)
    }


def choose_for(
    sizer: PoolSizer, harness: SchedulerHarness, duration_s: float, standby: int = 0
) -> list[VmMove]:
    """Return the moves of all decisions in that time."""
    moves: list[VmMove] = []
    for _ in range(round(duration_s / INTERVAL_S)):
        harness.now_s += INTERVAL_S
        moves.extend(sizer.choose(POOLS, make_vms(standby), harness.now_s))
    return moves


@pytest.mark.parametrize(
    ('jobs', 'waited_s', 'shrinks'),
    [
        pytest.param([], 10, False, id='no job yet'),
        pytest.param([LONG_RUNNING_JOB], 10, False, id='long-running tasks only'),
        pytest.param([SHORT_JOB], 1, False, id='first jobs'),
        pytest.param([SHORT_JOB], 10, True, id='demand is known'),
        pytest.param([], 30, True, id='no demand for long'),
    ],
)
def test_deployed_sizes_hold(jobs: list[object], waited_s: float, shrinks: bool) -> None:
    """A fleet keeps its sizes until the first jobs, which may come as a burst.

    Pattern: the first queue is at its peak when the traffic starts, 12 s after the nodes. Pools had
    given up all but two VMs by then, and half of the jobs of the first two seconds were late. With
    179 VMs, 95 went to standby at the first job when the surplus before it counted, and the queues
    whose demand began with that job lacked them for 3 s.
    """
    harness = SchedulerHarness(targets=8)
    for job in jobs:
        harness.add_job(job)  # type: ignore[arg-type]
    harness.start()
    assert (
        bool(choose_for(PoolSizer(harness.scheduler_state, POLICY), harness, waited_s)) == shrinks
    )


def test_pool_grows_before_demand_is_known() -> None:
    """Pools that lack VMs get them while others keep theirs."""
    harness = SchedulerHarness(targets=8)
    harness.add_job(make_job(Step(36, Resources(1000, 100), long_running=True)))
    harness.start()
    moves = choose_for(PoolSizer(harness.scheduler_state, POLICY), harness, INTERVAL_S, standby=4)
    assert {move.pool for move in moves} == {POOL}
