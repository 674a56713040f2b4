"""`comfreywind jobs`: shows jobs and the holder from the rows in the platform's store."""

from collections.abc import Awaitable, Callable

import click
import trio

from comfreywind.cli.address_option import read_address
from comfreywind.cli.text_table import format_table
from comfreywind.clock import SystemClock
from comfreywind.environment import Environment
from comfreywind.errors import JobRequestError
from comfreywind.platform.caller_codec import JOB_ID_PATTERN
from comfreywind.platform.rows_client import RowsClient
from comfreywind.report.job_report import ReportRow, read_holder_report, read_job_report

HEADINGS = ('field', 'value')
ReadReport = Callable[[RowsClient], Awaitable[list[ReportRow]]]
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


def print_report(env: Environment, store_address: str, read: ReadReport) -> None:
    """Read from the store and print a table."""
    address = read_address(store_address, '--store')
    report = trio.run(read, RowsClient(address, 0, SystemClock()))
    env.print_line(format_table(HEADINGS, report))
