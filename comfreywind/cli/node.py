"""`comfreywind node`: runs the process of a VM of the system on the users' platform."""

from dataclasses import replace
from pathlib import Path

import click
import trio

from comfreywind.cli.address_option import read_address
from comfreywind.environment import Environment
from comfreywind.errors import SettingsError
from comfreywind.node.run import run_node
from comfreywind.platform.node_file import load_node_settings
from comfreywind.platform.wire import SETTINGS_VARIABLE


@click.command(name='node')
@click.option(
    '--settings',
    'settings_path',
    type=click.Path(path_type=Path, dir_okay=False),
    help=f'Settings file; by default the one that {SETTINGS_VARIABLE} names.',
)
@click.option(
    '--metrics',
    'metrics_address',
    help='Address that serves the metrics, as ip:port; without it they are not served.',
)
@click.pass_obj
def node_command(env: Environment, settings_path: Path | None, metrics_address: str | None) -> None:
    """Run a node until SIGTERM."""
    path = settings_path or env.variables.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f'--settings or the variable {SETTINGS_VARIABLE} is needed')
    settings = load_node_settings(Path(path))
    if metrics_address is not None:
        settings = replace(settings, metrics_address=read_address(metrics_address, '--metrics'))
    trio.run(run_node, settings)
