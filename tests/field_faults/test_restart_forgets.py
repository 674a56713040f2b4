"""After the restart of a process, a server that had left, or a withdrawn key, is in use again.

A node keeps no state of its own: it reads all rules and registrations when it starts and serves
no caller before. The tests restart all nodes at once, also after the store has dropped its history,
and start a node while the store refuses calls.
"""

import pytest
import trio

from bench.job_fleet import KEY, JobFleet, make_config, run_job_fleet

JOB = '00000000000000a1'
OTHER_JOB = '00000000000000a2'
WITHDRAWN_KEY = 'key-of-crews-2'


async def remove_target_and_key(fleet: JobFleet) -> None:
    """Remove target i-0, add a key and withdraw it, and wait until node 0 applies each change."""
    fleet.store.store.put('servers', 'i-0', None)
    for version, keys, status in ((2, (KEY, WITHDRAWN_KEY), 410), (3, (KEY,), 401)):
        fleet.store.write_document('op', 'config', make_config(version, keys))
        with trio.fail_after(5):
            while (await fleet.call(0, 'GET', JOB, key=WITHDRAWN_KEY)).status != status:
                await trio.sleep(0.05)


@pytest.mark.parametrize('history_dropped', [False, True])
async def test_all_nodes_restarted(history_dropped: bool) -> None:
    """Uses neither the withdrawn key nor the removed target after a restart of all nodes.

    State of an earlier process or holder that outlived it would bring them back.
    """
    async with run_job_fleet(node_count=2, target_count=2) as fleet:
        await remove_target_and_key(fleet)
        for scope in fleet.scopes:
            scope.cancel()
        if history_dropped:
            fleet.store.store.oldest_history = fleet.store.store.version
        starts_before = len(fleet.targets[0].runs)
        async with fleet.run_node('node-7') as node:
            body = {'spec': '', 'steps': [{'count': 4, 'cpu': 500}]}
            assert (await fleet.call(node, 'POST', JOB, body, key=WITHDRAWN_KEY)).status == 401
            assert (await fleet.call(node, 'POST', OTHER_JOB, body)).status == 200
            with trio.fail_after(15):
                while len(fleet.log.starts) < 4:
                    await trio.sleep(0.05)
            await trio.sleep(0.3)
        assert fleet.targets[0].fence <= 1
        assert len(fleet.targets[0].runs) == starts_before


async def test_start_while_store_is_away() -> None:
    """Does not serve callers before it has read the rules.

    A node that served at once would do so without knowing keys that were withdrawn.
    """
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.scopes[0].cancel()
        fleet.store.faults.refusing = True

        async def restore_store() -> None:
            await trio.sleep(0.7)
            assert not fleet.log.starts
            fleet.store.faults.refusing = False

        async with trio.open_nursery() as nursery:
            nursery.start_soon(restore_store)
            async with fleet.run_node('node-7') as node:
                assert not fleet.store.faults.refusing
                assert await fleet.submit(node, JOB) == 200
