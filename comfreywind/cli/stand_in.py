"""`comfreywind stand-in`: runs the stand-ins of the platform and of targets."""

from pathlib import Path

import click
import trio

from comfreywind.cli.options import settings_option
from comfreywind.settings.loader import load_settings
from comfreywind.settings.platform_stand_in import PlatformStandInSettings
from comfreywind.settings.target_stand_in import TargetStandInSettings
from comfreywind.stand_ins.run_platform import run_platform
from comfreywind.stand_ins.run_target import run_target


@click.group(name='stand-in')
def stand_in_group() -> None:
    """Run small stand-ins for tests, demo and bench."""


@stand_in_group.command(name='platform')
@settings_option
def platform_command(settings_path: Path) -> None:
    """Run the platform stand-in."""
    trio.run(run_platform, load_settings(PlatformStandInSettings, settings_path))


@stand_in_group.command(name='target')
@settings_option
def target_command(settings_path: Path) -> None:
    """Run the target stand-in."""
    trio.run(run_target, load_settings(TargetStandInSettings, settings_path))
