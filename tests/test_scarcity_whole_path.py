"""Refusals for scarcity over real sockets: holder, row of the term, and both nodes."""

import itertools

import trio

from bench.job_fleet import JobFleet, run_job_fleet
from tests.test_job_owner import OTHER_KEY, add_offices

SMALL = {'spec': 'work_s=1', 'steps': [{'count': 1, 'cpu': 500, 'estimate_ms': 200}]}
# 200 s for the whole pool, and on time for as long as the test takes.
LARGE = {'spec': 'work_s=30', 'steps': [{'count': 200, 'cpu': 200, 'estimate_ms': 20_000}]}
OF_OFFICES = {'spec': 'work_s=30', 'steps': [{'count': 1, 'cpu': 100, 'estimate_ms': 30_000}]}


async def submit_until_refused(fleet: JobFleet, node: int) -> str:
    """Submit jobs of the first team until one is refused, and return its id."""
    with trio.fail_after(10):
        for number in itertools.count():
            job_id = f'{node:08x}{number:08x}'
            reply = await fleet.call(node, 'POST', job_id, SMALL)
            if reply.status == 429:
                assert int(reply.find_header(b'retry-after')) > 1
                return job_id
            assert reply.status == 200
            await trio.sleep(0.1)
    raise AssertionError


async def test_team_beyond_its_share() -> None:
    """Every node refuses a team that sent far too much, and no node refuses another team for it.

    A refused job must be unknown, and one that was accepted before must stay the same job.
    """
    async with run_job_fleet(node_count=2, target_count=1) as fleet:
        add_offices(fleet)
        with trio.fail_after(5):
            while (await fleet.call(1, 'POST', 'e' * 16, OF_OFFICES, key=OTHER_KEY)).status != 200:
                await trio.sleep(0.05)
        assert (await fleet.call(0, 'POST', 'd' * 16, LARGE)).status == 200
        for node in (0, 1):
            refused = await submit_until_refused(fleet, node)
            assert await fleet.read_state(1 - node, refused) == '410'
            reply = await fleet.call(node, 'POST', f'{node + 7}' * 16, SMALL, key=OTHER_KEY)
            assert reply.status == 200
            assert (await fleet.call(node, 'POST', 'd' * 16, LARGE)).status == 200
