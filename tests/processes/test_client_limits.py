"""Crowds of clients outside the limits, against a node process with little memory.

The bounds are those of the VM that the settings name. Neither times nor shares of served requests are
checked. With CLIENT_LIMITS_REPORT, the peaks are appended to that file.
"""

import os
import random
from itertools import product
from pathlib import Path

import pytest
import trio

from bench.job_fleet import HOST
from comfreywind.http.client import HttpClient
from comfreywind.settings.address import Address
from tests.helpers.client_crowd import CROWDS, PLACES, ProcessUsage, run_crowds
from tests.helpers.soak_fleet import SoakFleet, SoakNode, run_soak_fleet

MEMORY_MB = 130
MAX_FDS = 800
# Descriptors of the VM that are kept for files.
FILE_FDS = 200
SETTINGS = f"""
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_FDS}
"""
LIMIT_S = 30.0
# Clients of each crowd at each place are this many times fewer when all come at once.
SHARE_AT_ONCE = 12
JOB_ID = '00000000000000a1'

pytestmark = pytest.mark.xdist_group('client-limits')


async def is_ready(node: SoakNode) -> bool:
    """Return whether the readiness check gets 200 at present."""
    client = HttpClient(Address(HOST, node.ports['ready']), 1)
    try:
        return (await client.call('GET', '/')).status == 200
    except Exception:
        return False
    finally:
        await client.close()


async def wait_ready(node: SoakNode) -> None:
    """Return once the readiness check gets 200."""
    with trio.fail_after(LIMIT_S):
        while not await is_ready(node):
            await trio.sleep(0.05)


async def check_service(fleet: SoakFleet, node: SoakNode) -> None:
    """Hand in a job as an ordinary caller does, and see it run."""
    with trio.move_on_after(LIMIT_S):
        while 200 not in fleet.statuses.get(JOB_ID, ()):
            await fleet.submit(JOB_ID, 2, 0.1, random.Random(1))
    assert node.process.poll() is None, 'the process has ended'
    assert 200 in fleet.statuses[JOB_ID], f'not accepted: {fleet.statuses}'
    assert not await fleet.wait_ended(LIMIT_S), 'the job has not run'
    await wait_ready(node)


async def meet(pairs: list[tuple[str, str]], case: str, share: int = 1) -> None:
    """Let crowds come to one node, and check that it serves on within its limits."""
    async with run_soak_fleet(1, 1, SETTINGS) as fleet:
        node = fleet.nodes[0]
        await wait_ready(node)
        usage = ProcessUsage(node.process.pid)
        before_mb = usage.read_peak_mb()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(usage.follow)
            async with run_crowds(node.ports, pairs, share):
                await trio.sleep(max(CROWDS[kind].ahead_s for kind, _ in pairs))
                await check_service(fleet, node)
            nursery.cancel_scope.cancel()
        await check_service(fleet, node)
        peak_mb = usage.read_peak_mb()
        figures = f'{case}: {before_mb:.0f} MB before, {peak_mb:.0f} MB, {usage.descriptors} fds'
        if 'CLIENT_LIMITS_REPORT' in os.environ:
            with Path(os.environ['CLIENT_LIMITS_REPORT']).open('a', encoding='utf-8') as report:
                report.write(f'{figures}\n')
        assert peak_mb <= MEMORY_MB, figures
        assert usage.descriptors <= MAX_FDS - FILE_FDS, figures


@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize('kind', CROWDS)
async def test_crowd(kind: str, place: str) -> None:
    """Guards against a process that one kind of client runs out of memory or descriptors."""
    await meet([(kind, place)], f'{kind}, {place}')


async def test_all_at_once() -> None:
    """Guards against limits that hold for each crowd alone, and not for their sum."""
    await meet(list(product(CROWDS, PLACES)), 'all at once', SHARE_AT_ONCE)
