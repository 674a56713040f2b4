"""Callers of one team can't see or cancel the jobs of another team through any queue."""

from dataclasses import replace

import pytest

from bench.job_fleet import KEY, JobFleet, make_config, run_job_fleet
from comfreywind.jobs.job_owner import JobOwner
from comfreywind.jobs.queue import Queue

JOB = '00000000000000a1'
OTHER_KEY = 'key-of-offices'
OTHER_PREFIX = '/rosters/'
MINE = JobOwner('crews', 'rebuild', 'h', '/rebuild/')
QUEUE = Queue('rebuild', 'h', '/rebuild/', 'pool')
BODY = {'spec': 'work_s=9', 'steps': [{'count': 1, 'cpu': 100}]}


@pytest.mark.parametrize(
    ('owner', 'team', 'queue', 'admitted'),
    [
        (MINE, 'crews', QUEUE, True),
        (MINE, 'offices', QUEUE, False),
        (MINE, '', replace(QUEUE, open_to_all=True), True),
        (MINE, 'crews', replace(QUEUE, name='rosters', prefix='/rosters/'), False),
        (MINE, 'crews', replace(QUEUE, name='renamed'), True),
        (MINE, 'crews', replace(QUEUE, prefix='/moved/'), True),
        (replace(MINE, team=''), 'offices', QUEUE, True),
    ],
)
def test_admits(owner: JobOwner, team: str, queue: Queue, admitted: bool) -> None:
    """Allows access by team and by the name or address of the queue, as JobOwner documents."""
    assert owner.allows_access(team, queue) is admitted


def add_offices(fleet: JobFleet) -> None:
    """Add a second team and a second queue to the configuration."""
    config = make_config(2)
    (route,) = config['routes']  # type: ignore[misc]
    (tenant,) = config['tenants']  # type: ignore[misc]
    config['routes'] = [route, {**route, 'name': 'rosters', 'prefix': OTHER_PREFIX}]
    config['tenants'] = [tenant, {**tenant, 'name': 'offices', 'api_keys': [OTHER_KEY]}]
    fleet.store.write_document('op', 'config', config)


async def test_other_team() -> None:
    """Replies to a caller of another team as if the job did not exist, and refuses its id with 409.

    When the id alone decided on access, such a caller could read and cancel the job.
    """
    async with run_job_fleet(node_count=2, target_count=1) as fleet:
        assert (await fleet.call(0, 'POST', JOB, BODY)).status == 200
        add_offices(fleet)
        while (await fleet.call(1, 'GET', '', key=OTHER_KEY)).status != 200:
            pass
        for node in (1, 0):
            unknown = await fleet.call(node, 'GET', JOB[::-1], key=OTHER_KEY)
            for method in ('GET', 'DELETE'):
                reply = await fleet.call(node, method, JOB, key=OTHER_KEY)
                assert (reply.status, reply.body) == (410, unknown.body)
        assert (await fleet.call(1, 'POST', JOB, BODY, key=OTHER_KEY)).status == 409
        assert (await fleet.call(1, 'POST', JOB, BODY, key=KEY)).status == 200
        assert (await fleet.call(1, 'DELETE', JOB, key=KEY)).status == 200
        assert await fleet.read_state(0, JOB) == 'cancelled'
        assert (await fleet.call(0, 'GET', JOB, key=OTHER_KEY)).status == 410
