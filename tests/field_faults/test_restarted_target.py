"""A target starts again under its id, while orders that were meant for its former life arrive.

Whole fleets on loopback: no task may have two runs at the same time.
"""

import pytest
import trio

from bench.job_fleet import JobFleet, run_job_fleet

JOB = '00000000000000a1'
WARM_JOB = '00000000000000a0'


async def find_used_target(fleet: JobFleet) -> int:
    """Run a job of one task and return the number of the target that has run it."""
    await fleet.submit(0, WARM_JOB, count=1)
    while True:
        for number, target in enumerate(fleet.targets):
            if target.runs:
                await fleet.wait_for_state(0, WARM_JOB, 'complete')
                return number
        await trio.sleep(0.01)


async def submit_small_tasks(fleet: JobFleet) -> None:
    """Hand in a job of so many tasks that their orders wait for connections to the targets."""
    step = {'count': 100, 'cpu': 100, 'mem_mb': 10, 'estimate_ms': 800}
    reply = await fleet.call(0, 'POST', JOB, {'spec': 'work_s=0.8', 'steps': [step]})
    assert reply.status == 200


# Guards against a second run of tasks that were ordered to a target after it had restarted: its
# first report made the holder take all of its runs for lost (TWICE).
@pytest.mark.parametrize('start_s', [0.0, 0.02, 0.05])
async def test_idle_target_restarts(start_s: float) -> None:
    """Starts no task twice that is ordered to a target whose restart is not known yet."""
    async with run_job_fleet(node_count=1, target_count=4) as fleet:
        used = await find_used_target(fleet)
        # The holder has acknowledged the end, and polls an idle target every 2.5 s.
        await trio.sleep(0.6)
        for target in fleet.targets:
            target.start_s = start_s
        fleet.targets[used].restart()
        await submit_small_tasks(fleet)
        await fleet.wait_for_state(0, JOB, 'complete')
    assert not fleet.log.list_doubles()
