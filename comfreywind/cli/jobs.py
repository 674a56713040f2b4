"""`comfreywind jobs`: shows jobs and the holder from the rows in the platform's store."""

from collections.abc import Awaitable, Callable, Sequence

import click
import trio

from comfreywind.cli.address_option import read_address
from comfreywind.cli.text_table import format_table
from comfreywind.clock import SystemClock
from comfreywind.environment import Environment
from comfreywind.errors import JobRequestError
from comfreywind.platform.caller_codec import JOB_ID_PATTERN
from comfreywind.platform.rows_client import RowsClient
from comfreywind.report.evacuation_report import read_evacuation_report
from comfreywind.report.fleet_report import (
    Cells,
    read_pool_report,
    read_queue_report,
    read_team_report,
    read_wave_report,
)
from comfreywind.report.job_report import ReportRow, read_holder_report, read_job_report

HEADINGS = ('field', 'value')
ReadReport = Callable[[RowsClient], Awaitable[list[ReportRow]]]
ReadCells = Callable[[RowsClient], Awaitable[Sequence[Cells]]]
store_option = click.option(
    '--store',
    'store_address',
    envvar='COMFREYWIND_STORE',
    required=True,
    help="Address of the platform's table service, as ip:port.",
)


@click.group(name='jobs')
def jobs_group() -> None:
    """Show jobs and who schedules them."""


@jobs_group.command(name='show')
@click.argument('job_id')
@store_option
@click.pass_obj
def show_job(env: Environment, job_id: str, store_address: str) -> None:
    """Show the state of a job, what is done of each step and what it waits for."""
    if not JOB_ID_PATTERN.fullmatch(job_id):
        raise JobRequestError(f'{job_id!r} is no job id: it has 16 hexadecimal digits')

    async def read(rows: RowsClient) -> list[ReportRow]:
        return await read_job_report(rows, job_id)

    print_report(env, store_address, read)


@jobs_group.command(name='holder')
@store_option
@click.pass_obj
def show_holder(env: Environment, store_address: str) -> None:
    """Show which node holds the term, and how many jobs of each queue have not begun."""
    print_report(env, store_address, read_holder_report)


@jobs_group.command(name='list')
@click.argument('queue')
@store_option
@click.pass_obj
def list_queue(env: Environment, queue: str, store_address: str) -> None:
    """List the jobs of a queue that have not ended, oldest first."""

    async def read(rows: RowsClient) -> list[Cells]:
        return await read_queue_report(rows, queue)

    print_table(env, store_address, ('job', 'team', 'state', 'tasks done'), read)


@jobs_group.command(name='pools')
@store_option
@click.pass_obj
def show_pools(env: Environment, store_address: str) -> None:
    """Show the pools with their targets."""
    headings = ('pool', 'use', 'ready', 'draining', 'cores ready')
    print_table(env, store_address, headings, read_pool_report)


@jobs_group.command(name='teams')
@store_option
@click.pass_obj
def show_teams(env: Environment, store_address: str) -> None:
    """Show the teams with their ceilings."""
    print_table(env, store_address, ('team', 'weight', 'ceiling', 'keys'), read_team_report)


@jobs_group.command(name='waves')
@store_option
@click.pass_obj
def show_waves(env: Environment, store_address: str) -> None:
    """Show the waves of upkeep and how far they are."""
    headings = ('wave', 'VMs', 'done', 'at once', 'seconds')
    print_table(env, store_address, headings, read_wave_report)


@jobs_group.command(name='evacuations')
@store_option
@click.pass_obj
def show_evacuations(env: Environment, store_address: str) -> None:
    """Show the data centres to be evacuated and how far that is."""
    headings = ('data centre', 'state', 'reason')
    print_table(env, store_address, headings, read_evacuation_report)


def print_report(env: Environment, store_address: str, read: ReadReport) -> None:
    """Read from the store and print a table of fields and values."""
    print_table(env, store_address, HEADINGS, read)


def print_table(
    env: Environment, store_address: str, headings: tuple[str, ...], read: ReadCells
) -> None:
    """Read rows of cells from the store and print them as a table."""
    address = read_address(store_address, '--store')
    cells = trio.run(read, RowsClient(address, 0, SystemClock()))
    env.print_line(format_table(headings, cells))
