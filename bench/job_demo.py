"""Shows a job from submission to completion on loopback: part of `make demo`."""

import sys
import time

import click
import trio

from bench.job_fleet import JobFleet, run_job_fleet

JOB = '00000000000000d1'
CANCELLED_JOB = '00000000000000d2'
SURVIVING_JOB = '00000000000000d3'


def main() -> int:
    """Run the steps and return the exit status."""
    click.secho('comfreywind jobs: 2 nodes, 2 targets, 1 store stand-in', bold=True)
    failures: list[BaseException] = []
    try:
        trio.run(show_jobs)
    except* (trio.TooSlowError, AssertionError) as group:
        failures.extend(group.exceptions)
    for failure in failures:
        click.secho(f'  failed: {failure!r}', fg='red')
    return 1 if failures else 0


async def show_jobs() -> None:
    """Run each step; raise when one is not as promised."""
    async with run_job_fleet() as fleet:
        started_s = time.monotonic()
        await submit(fleet, 0, JOB, 'work_s=0.3')
        await fleet.wait_for_state(1, JOB, 'complete')
        report(f'A job of two tasks is complete after {time.monotonic() - started_s:.2f} s')

        await submit(fleet, 1, CANCELLED_JOB, 'last')
        await fleet.call(0, 'DELETE', CANCELLED_JOB)
        await fleet.wait_for_state(1, CANCELLED_JOB, 'cancelled')
        report('A job is cancelled at another node')

        await submit(fleet, 1, SURVIVING_JOB, 'work_s=4')
        await trio.sleep(0.5)
        fleet.scopes[0].cancel()
        await fleet.wait_for_state(1, SURVIVING_JOB, 'complete')
        starts = [task for task, _, _ in fleet.log.starts if task.startswith(SURVIVING_JOB)]
        assert len(starts) == 2
        report('A node is killed; the job goes on and each task has run once')


async def submit(fleet: JobFleet, node: int, job_id: str, spec: str) -> None:
    """Hand a job in."""
    assert await fleet.submit(node, job_id, spec) == 200


def report(promise: str) -> None:
    """Print a step that went as promised."""
    click.echo(f'  ok  {promise}')


if __name__ == '__main__':
    sys.exit(main())
