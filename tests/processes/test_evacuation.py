"""A data centre is evacuated under load while the holder is lost, with nodes in processes of their own.

Guards against starts there by a next holder that hasn't read the request, by orders that were made
before it, and by targets that come back after a crash.
"""

import random
import signal

import trio

from tests.helpers.soak_fleet import DATA_CENTRES, EVACUATE_S, SoakFleet, run_soak_fleet

EVACUATED = DATA_CENTRES[0]
NODES, TARGETS = 3, 4
# More than the targets of one data centre can run, so that all of them are used.
JOB_INTERVAL_S, TASKS, WORK_S = 0.2, 8, 1.5


async def hand_in_until_cancelled(fleet: SoakFleet) -> None:
    """Hand in short jobs one after the other."""
    picker = random.Random(1)
    async with trio.open_nursery() as nursery:
        while True:
            job_id = f'{picker.getrandbits(64):016x}'
            nursery.start_soon(fleet.submit, job_id, TASKS, WORK_S, picker)
            await trio.sleep(JOB_INTERVAL_S)


async def wait_for_starts(fleet: SoakFleet, evacuated: bool) -> None:
    """Return once further starts have come to the evacuated data centre, or elsewhere."""
    targets = [each for each in fleet.targets if (each.data_centre == EVACUATED) is evacuated]
    before = sum(len(target.starts) for target in targets)
    with trio.fail_after(15):
        while sum(len(target.starts) for target in targets) < before + 3:
            await trio.sleep(0.1)


async def test_evacuation_as_holder_is_lost() -> None:
    """Starts nothing there after the bound, goes on elsewhere, and starts there again at the end."""
    async with run_soak_fleet(NODES, TARGETS) as fleet, trio.open_nursery() as nursery:
        nursery.start_soon(hand_in_until_cancelled, fleet)
        await wait_for_starts(fleet, evacuated=True)
        requested_s = trio.current_time()
        nursery.start_soon(fleet.evacuate, EVACUATED, 2 * EVACUATE_S)
        holder = fleet.find_holder()
        assert holder is not None
        holder.process.send_signal(signal.SIGKILL)
        crashing = next(target for target in fleet.targets if target.data_centre == EVACUATED)
        await crashing.crash(0.3, 0)
        await wait_for_starts(fleet, evacuated=False)
        with trio.fail_after(EVACUATE_S):
            while fleet.read_evacuation(EVACUATED) != 'complete':
                await trio.sleep(0.1)
        await trio.sleep_until(requested_s + 2 * EVACUATE_S)
        await wait_for_starts(fleet, evacuated=True)
        with trio.fail_after(EVACUATE_S):
            while fleet.read_evacuation(EVACUATED) is not None:
                await trio.sleep(0.1)
        assert fleet.list_late_starts() == []
        nursery.cancel_scope.cancel()
