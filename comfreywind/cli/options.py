"""Options that several commands share."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

CommandFunction = Callable[..., Any]

settings_option = click.option(
    '--settings',
    'settings_path',
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    help='YAML settings file of the process.',
)


def operator_options(function: CommandFunction) -> CommandFunction:
    """Add the options that name an entry's operator address and the token."""
    function = click.option(
        '--entry',
        'entry_address',
        envvar='COMFREYWIND_ENTRY',
        required=True,
        help='Operator address of an entry, as ip:port.',
    )(function)
    return click.option(
        '--token',
        envvar='COMFREYWIND_TOKEN',
        required=True,
        help='Operator token; better given in the environment.',
    )(function)


def report_options(function: CommandFunction) -> CommandFunction:
    """Add the options of a command that prints what an entry knows."""
    function = click.option(
        '--format',
        'output_format',
        type=click.Choice(('text', 'json')),
        default='text',
        show_default=True,
        help='Form of the output.',
    )(function)
    return operator_options(function)
