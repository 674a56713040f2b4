"""The root of the command line."""

import click

from comfreywind import __version__
from comfreywind.cli.lazy_group import LazyGroup

COMMANDS = {
    'bundle': 'comfreywind.cli.bundle:bundle_group',
    'check': 'comfreywind.cli.check:check_command',
    'entry': 'comfreywind.cli.entry:entry_command',
    'explain': 'comfreywind.cli.explain:explain_command',
    'jobs': 'comfreywind.cli.jobs:jobs_group',
    'key': 'comfreywind.cli.key:key_group',
    'lab': 'comfreywind.cli.lab:lab_group',
    'node': 'comfreywind.cli.node:node_command',
    'report': 'comfreywind.cli.report:report_group',
    'show': 'comfreywind.cli.show:show_command',
    'stand-in': 'comfreywind.cli.stand_in:stand_in_group',
}


@click.group(
    name='comfreywind',
    cls=LazyGroup,
    lazy_commands=COMMANDS,
    context_settings={'help_option_names': ['-h', '--help']},
)
@click.version_option(__version__, prog_name='comfreywind')
def root_command() -> None:
    """Fleet capacity and maintenance manager for small diskless VMs."""
