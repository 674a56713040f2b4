"""The command `comfreywind jobs` against the stand-ins of the platform."""

import base64

import pytest
import trio

from bench.job_fleet import PREFIX, QUEUE_HOST, run_job_fleet
from comfreywind.exit_status import ExitStatus
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job_codec import encode_tombstone
from comfreywind.jobs.job_owner import JobOwner
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.tables import TABLE_INTAKE, compute_intake_partition
from tests.helpers.program import ProgramResult, run_program

JOB = '00000000000000c1'


async def run_jobs(*args: str) -> ProgramResult:
    """Run the command in a thread, because it starts its own event loop."""
    return await trio.to_thread.run_sync(lambda: run_program('jobs', *args))


async def test_show_job() -> None:
    """Shows the progress of a job and what it waits for, and which node is the holder.

    Without them, an operator can't tell why a job has not ended.
    """
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        store = str(fleet.store_address)
        await fleet.submit(0, JOB, 'work_s=1')
        shown = await run_jobs('show', JOB, '--store', store)
        assert '0 of 2 tasks done' in shown.stdout
        assert 'waits for' in shown.stdout
        await fleet.wait_for_state(0, JOB, 'complete')
        shown = await run_jobs('show', JOB, '--store', store)
        assert '2 of 2 tasks done' in shown.stdout
        assert 'waits for' not in shown.stdout
        holder = await run_jobs('holder', '--store', store)
        assert 'node-0' in holder.stdout


@pytest.mark.parametrize(
    ('args', 'status', 'message'),
    [
        (('show', 'nonsense', '--store', '127.0.0.1:1'), ExitStatus.FAILURE, '16 hexadecimal'),
        (('show', JOB, '--store', 'nowhere'), ExitStatus.USAGE_ERROR, '--store'),
        (('holder', '--store', '127.0.0.1:1'), ExitStatus.UNREACHABLE, 'rows-get'),
    ],
)
async def test_errors(args: tuple[str, ...], status: ExitStatus, message: str) -> None:
    """Names the wrong argument or the call that failed, and sets the exit status accordingly."""
    shown = await run_jobs(*args)
    assert shown.exit_status is status
    assert message in shown.stderr


async def test_missing_job() -> None:
    """Fails for a job that does not exist; an empty report would look like a job without tasks."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        shown = await run_jobs('show', JOB, '--store', str(fleet.store_address))
        assert shown.exit_status is ExitStatus.REFUSED
        assert JOB in shown.stderr


async def test_fleet_tables() -> None:
    """Lists the jobs of a queue, the pools, the teams, the maintenance waves and the evacuations."""
    async with run_job_fleet(node_count=1, target_count=2) as fleet:
        store = str(fleet.store_address)
        wave = {'rollout_wave': 4, 'machines': ['m-1', 'm-2'], 'cap': 1, 'duration_s': 30}
        fleet.store.write_document('op', 'wave/4', wave)
        fleet.store.write_document('op', 'evacuate/north', {})
        await fleet.submit(0, JOB, 'work_s=5')
        shown = {
            subject: (await run_jobs(*subject, '--store', store)).stdout.splitlines()[1].split()
            for subject in (
                ('list', 'rebuild'),
                ('pools',),
                ('teams',),
                ('waves',),
                ('evacuations',),
            )
        }
        assert shown['list', 'rebuild'][:2] == [JOB, 'crews']
        assert shown['list', 'rebuild'][-3:] == ['0', 'of', '2']
        assert shown['pools',] == ['crossings', 'working', '2', '0', '8.0']
        assert shown['teams',] == ['crews', '10.0', 'none', '1']
        assert shown['evacuations',][0] == 'north'
        assert shown['waves',] == ['4', '2', '0', '1', '30.0']


async def test_ended_jobs_are_not_listed() -> None:
    """Leaves ended jobs out of the list, which would otherwise grow with all jobs that ever ran."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        store = str(fleet.store_address)
        await fleet.submit(0, JOB)
        await fleet.wait_for_state(0, JOB, 'complete')
        shown = await run_jobs('list', 'rebuild', '--store', store)
        assert JOB not in shown.stdout
        unknown = await run_jobs('list', 'nowhere', '--store', store)
        assert unknown.exit_status is ExitStatus.REFUSED


async def test_job_that_is_being_removed() -> None:
    """Shows the owner and final state of a job of which only the tombstone is left.

    A command that expected a job in each intake row would fail while any job is being removed.
    """
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        store = str(fleet.store_address)
        owner = JobOwner('crews', 'rebuild', QUEUE_HOST, PREFIX)
        tombstone = base64.b64encode(encode_tombstone(EndedJob(owner, JobState.FAILED))).decode()
        name = (TABLE_INTAKE, compute_intake_partition(JOB), JOB)
        fleet.store.store.apply([], [(*name, tombstone)])
        shown = await run_jobs('show', JOB, '--store', store)
        assert 'failed' in shown.stdout
        assert 'crews' in shown.stdout
        listed = await run_jobs('list', 'rebuild', '--store', store)
        assert listed.exit_status is ExitStatus.SUCCESS
        assert JOB not in listed.stdout
