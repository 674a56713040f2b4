"""The root of the command line."""

import click

from comfreywind import __version__
from comfreywind.cli.bundle import bundle_group
from comfreywind.cli.check import check_command
from comfreywind.cli.entry import entry_command
from comfreywind.cli.explain import explain_command
from comfreywind.cli.jobs import jobs_group
from comfreywind.cli.key import key_group
from comfreywind.cli.node import node_command
from comfreywind.cli.report import report_group
from comfreywind.cli.show import show_command
from comfreywind.cli.stand_in import stand_in_group


@click.group(name='comfreywind', context_settings={'help_option_names': ['-h', '--help']})
@click.version_option(__version__, prog_name='comfreywind')
def root_command() -> None:
    """Fleet capacity and maintenance manager for small diskless VMs."""


root_command.add_command(entry_command)
root_command.add_command(stand_in_group)
root_command.add_command(check_command)
root_command.add_command(bundle_group)
root_command.add_command(key_group)
root_command.add_command(show_command)
root_command.add_command(report_group)
root_command.add_command(explain_command)
root_command.add_command(node_command)
root_command.add_command(jobs_group)
