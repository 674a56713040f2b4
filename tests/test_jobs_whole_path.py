"""Jobs from submission to completion over real sockets; nodes and stand-ins run in this process."""

import pytest
import trio

from bench.job_fleet import make_config, run_job_fleet

JOB = '00000000000000a1'
OTHER_JOB = '00000000000000a2'


async def test_job_completes() -> None:
    """Runs each task of a job once, though it is submitted twice, and reports its completion."""
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
    """Refuses unknown keys, unknown jobs, malformed ids and other methods, each with its status."""
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
    """Refuses jobs that can never be scheduled, such as one whose steps form a cycle."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        reply = await fleet.call(0, 'POST', JOB, {'spec': '', 'steps': steps})
        assert reply.status == 400
        assert b'steps' in reply.body
        assert await fleet.read_state(0, JOB) == '410'


async def test_withdrawn_key() -> None:
    """Refuses a key within 2 s of its withdrawal."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.store.write_document('op', 'config', make_config(2, keys=()))
        with trio.fail_after(2):
            while await fleet.submit(0, JOB) != 401:
                await trio.sleep(0.05)


async def test_cancelled_job_stops() -> None:
    """Stops the tasks of a job within 3 s of the reply that acknowledged its cancellation."""
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
    """Completes a job whose holder was killed without starting any task again.

    The next holder takes over the runs from the reports of the targets. If it missed one, the task
    would run twice; if it waited for an end that it never learns of, the job would not complete.
    """
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
    """Accepts a job whose row was written but the reply of the store was lost, and runs it once."""
    async with run_job_fleet(node_count=1) as fleet:
        fleet.store.faults.lost_replies = 1
        assert await fleet.submit(0, JOB) == 200
        await fleet.wait_for_state(0, JOB, 'complete')
        assert len(fleet.log.starts) == 2


async def test_store_refuses() -> None:
    """Replies 503 at once while the store refuses calls, and accepts the job afterwards.

    Holding the call until its deadline would leave the caller without time to try again.
    """
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
    """Applies a new configuration although the store has dropped its history.

    The feed can't return the change then; the node has to read the whole table again.
    """
    async with run_job_fleet(node_count=1) as fleet:
        fleet.store.store.oldest_history = fleet.store.store.version + 100
        fleet.store.write_document('op', 'config', make_config(2, keys=('new-key',)))
        with trio.fail_after(3):
            while (await fleet.call(0, 'GET', '', key='new-key')).status != 200:
                await trio.sleep(0.05)
        fleet.store.store.oldest_history = 0


async def test_start_without_answer() -> None:
    """Runs a task once although the reply to its start order was lost."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        fleet.targets[0].unanswered_starts = 1
        await fleet.submit(0, JOB, 'work_s=2', count=1)
        await fleet.wait_for_state(0, JOB, 'complete')
        assert len(fleet.log.starts) == 1


async def test_failing_job() -> None:
    """Starts a failing task as often as the queue's attempt limit allows, then fails the job."""
    async with run_job_fleet(node_count=1) as fleet:
        await fleet.submit(0, JOB, 'fail', count=1)
        await fleet.wait_for_state(0, JOB, 'failed')
        assert len(fleet.log.starts) == 3


async def test_burst_with_slow_store() -> None:
    """Accepts a burst of jobs while the store is slow, because jobs are spread over partitions.

    With only four partitions, and a store 100 times slower that ran two transactions/s in each,
    45 of 250 jobs were refused in dewpa-sched-grown trouble-2 and others held until their deadline.
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
