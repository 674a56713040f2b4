"""Jobs from the caller to the targets and back, over real sockets, with nodes in this process."""

import pytest
import trio

from bench.job_fleet import make_config, run_job_fleet

JOB = '00000000000000a1'
OTHER_JOB = '00000000000000a2'


async def test_job_completes() -> None:
    """Guards against jobs that are accepted and never run, or shown as complete too early."""
    async with run_job_fleet() as fleet:
        assert await fleet.submit(0, JOB, 'work_s=0.2') == 200
        assert await fleet.submit(1, JOB, 'work_s=0.2') == 200
        await fleet.wait_for_state(1, JOB, 'complete')
        assert sorted(task for task, _, _ in fleet.log.starts) == [f'{JOB}.0.0.0', f'{JOB}.0.0.1']


@pytest.mark.parametrize(
    ('method', 'path', 'key', 'status'),
    [
        ('POST', JOB, 'no-key', 401),
        ('GET', JOB, 'no-key', 401),
        ('GET', JOB, '', 410),
        ('DELETE', JOB, '', 410),
        ('POST', 'not-an-id', '', 400),
        ('PUT', JOB, '', 405),
    ],
)
async def test_refusals(method: str, path: str, key: str, status: int) -> None:
    """Guards against calls that are served without a key, and refusals of the wrong kind."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        extra = {'key': key} if key else {}
        reply = await fleet.call(0, method, path, {'steps': [{'count': 1}]}, **extra)
        assert reply.status == status


@pytest.mark.parametrize(
    'steps',
    [
        [],
        [{'count': 0}],
        [{'count': 1, 'after': [0]}],
        [{'count': 1}, {'count': 1, 'after': [2]}],
        [{'count': 'many'}],
    ],
)
async def test_invalid_jobs(steps: list[object]) -> None:
    """Guards against jobs that can't be scheduled, such as steps that wait for each other."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        reply = await fleet.call(0, 'POST', JOB, {'spec': '', 'steps': steps})
        assert reply.status == 400
        assert b'steps' in reply.body
        assert await fleet.read_state(0, JOB) == '410'


async def test_withdrawn_key() -> None:
    """Guards against a key that still works after it was withdrawn."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.store.write_document('op', 'config', make_config(2, keys=()))
        with trio.fail_after(2):
            while await fleet.submit(0, JOB) != 401:
                await trio.sleep(0.05)


async def test_cancelled_job_stops() -> None:
    """Guards against tasks that work on after the cancelling of their job was acknowledged."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        await fleet.submit(0, JOB, 'last')
        with trio.fail_after(5):
            while not fleet.targets[0].runs:
                await trio.sleep(0.02)
        assert (await fleet.call(0, 'DELETE', JOB)).status == 200
        assert await fleet.read_state(0, JOB) == 'cancelled'
        with trio.fail_after(3):
            while fleet.targets[0].runs:
                await trio.sleep(0.02)


async def test_holder_killed() -> None:
    """Guards against tasks that run twice or never after the node that scheduled them is killed."""
    async with run_job_fleet(node_count=2) as fleet:
        await fleet.submit(0, JOB, 'work_s=4', count=4)
        with trio.fail_after(5):
            while len(fleet.log.starts) < 4:
                await trio.sleep(0.02)
        fleet.scopes[0].cancel()
        await trio.sleep(0.1)
        assert await fleet.submit(1, OTHER_JOB) == 200
        await fleet.wait_for_state(1, OTHER_JOB, 'complete')
        await fleet.wait_for_state(1, JOB, 'complete')
        assert sum(task.startswith(JOB) for task, _, _ in fleet.log.starts) == 4


async def test_lost_reply_of_accept() -> None:
    """Guards against a job refused although its row was written, and against a second job."""
    async with run_job_fleet(node_count=1) as fleet:
        fleet.store.faults.lost_replies = 1
        assert await fleet.submit(0, JOB) == 200
        await fleet.wait_for_state(0, JOB, 'complete')
        assert len(fleet.log.starts) == 2


async def test_store_refuses() -> None:
    """Guards against work accepted, or held until its deadline, while the store refuses calls."""
    async with run_job_fleet(node_count=1) as fleet:
        fleet.store.faults.refusing = True
        with trio.fail_after(1):
            assert await fleet.submit(0, JOB) == 503
        fleet.store.faults.refusing = False
        with trio.fail_after(5):
            while await fleet.submit(0, JOB) != 200:
                await trio.sleep(0.1)
        await fleet.wait_for_state(0, JOB, 'complete')


async def test_history_dropped() -> None:
    """Guards against a configuration that is missed when the store drops its history."""
    async with run_job_fleet(node_count=1) as fleet:
        fleet.store.store.oldest_history = fleet.store.store.version + 100
        fleet.store.write_document('op', 'config', make_config(2, keys=('new-key',)))
        with trio.fail_after(3):
            while (await fleet.call(0, 'GET', '', key='new-key')).status != 200:
                await trio.sleep(0.05)
        fleet.store.store.oldest_history = 0


async def test_start_without_answer() -> None:
    """Guards against a task that runs twice because the answer to its start was lost."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.targets[0].unanswered_starts = 1
        await fleet.submit(0, JOB, 'work_s=2', count=1)
        await fleet.wait_for_state(0, JOB, 'complete')
        assert len(fleet.log.starts) == 1


async def test_failing_job() -> None:
    """Guards against a job that is tried for ever, or given up before its last attempt."""
    async with run_job_fleet(node_count=1) as fleet:
        await fleet.submit(0, JOB, 'fail', count=1)
        await fleet.wait_for_state(0, JOB, 'failed')
        assert len(fleet.log.starts) == 3


async def test_burst_with_slow_store() -> None:
    """Guards against jobs that are refused because all of them wait in a few parts of the store.

    Seen on dewpa-sched-grown trouble-2: with a store 100 times slower 45 of 250 jobs were refused
    and others held until their deadline, since four parts took two transactions a second each.
    """
    async with run_job_fleet(node_count=2, target_count=1) as fleet:
        fleet.store.faults.transaction_s = 0.25
        statuses: list[int] = []

        async def submit(number: int) -> None:
            statuses.append(await fleet.submit(number % 2, f'{number:016x}'))

        with trio.fail_after(3):
            async with trio.open_nursery() as nursery:
                for number in range(32):
                    nursery.start_soon(submit, number)
        assert statuses == [200] * 32
