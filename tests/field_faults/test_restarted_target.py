"""A target starts again under its id, while orders that were meant for its former life arrive.

Whole fleets on loopback: no task may have two runs at the same time.
"""

from collections.abc import Awaitable, Callable

import pytest
import trio

from bench.job_fleet import JobFleet, run_job_fleet
from comfreywind.stand_ins.jobs.target_app import JobTargetApp

WARM_JOB = '00000000000000a0'
JOB = '00000000000000a1'
LATE_JOB = '00000000000000a2'
LATE_S = 2.0
CUT_S = 20.0


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


async def crash_once(target: JobTargetApp) -> None:
    """Restart once, shortly after the orders were sent."""
    await trio.sleep(0.3)
    target.restart()


async def crash_twice(target: JobTargetApp) -> None:
    """Restart again just before the orders are carried out."""
    await crash_once(target)
    await trio.sleep(LATE_S - 0.4)
    target.restart()


async def crash_late(target: JobTargetApp) -> None:
    """Restart after the holder has stopped the runs that the target doesn't list."""
    await trio.sleep(LATE_S - 0.1)
    target.restart()


async def crash_and_cut(target: JobTargetApp) -> None:
    """Restart and be cut off at once, for longer than a lease."""
    await crash_once(target)
    target.silent_until_s = trio.current_time() + CUT_S


# Guards against a second run of tasks whose first order is carried out late, by an incarnation that
# did not exist when it was sent (TWICE).
@pytest.mark.parametrize(
    ('event', 'late_s', 'work_s'),
    [
        (crash_once, LATE_S, 3),
        (crash_twice, LATE_S, 3),
        (crash_late, LATE_S, 3),
        (crash_and_cut, 7.0, 4),
    ],
)
async def test_late_order_and_restart(
    event: Callable[[JobTargetApp], Awaitable[None]], late_s: float, work_s: float
) -> None:
    """Starts no task elsewhere while a target may still carry out an order for it."""
    async with run_job_fleet(node_count=1, target_count=3) as fleet:
        used = await find_used_target(fleet)
        target = fleet.targets[used]
        target.late_s = late_s
        async with trio.open_nursery() as nursery:
            assert await fleet.submit(0, LATE_JOB, f'work_s={work_s}', count=12) == 200
            nursery.start_soon(event, target)
            await trio.sleep(0.2)
            target.late_s = 0
        with trio.fail_after(30):
            while await fleet.read_state(0, LATE_JOB) != 'complete':
                await trio.sleep(0.1)
    assert not fleet.log.list_doubles()


# Guards against a second run of tasks whose order was sent by an earlier holder and is carried out
# late, by an incarnation that the present holder has not called yet (TWICE).
async def test_late_order_of_earlier_holder() -> None:
    """Starts no task elsewhere after a change of the holder while its order may still arrive."""
    async with run_job_fleet(node_count=1, target_count=3) as fleet:
        target = fleet.targets[await find_used_target(fleet)]
        target.late_s = 6.0
        assert await fleet.submit(0, LATE_JOB, 'work_s=6', count=14) == 200
        sent_s = trio.current_time()
        # The replies are due within 0.8 s.
        await trio.sleep(1.5)
        fleet.scopes[0].cancel()
        target.late_s = 0
        async with fleet.run_node('node-7') as node:
            await trio.sleep_until(sent_s + 5.9)
            target.restart()
            await fleet.wait_for_state(node, LATE_JOB, 'complete')
        assert not fleet.log.list_doubles()
