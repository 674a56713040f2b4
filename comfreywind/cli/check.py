"""`comfreywind check`: checks a settings file without starting anything."""

from pathlib import Path

import click
from pydantic import BaseModel

from comfreywind.environment import Environment
from comfreywind.settings.entry import EntrySettings
from comfreywind.settings.loader import load_settings
from comfreywind.settings.platform_stand_in import PlatformStandInSettings
from comfreywind.settings.target_stand_in import TargetStandInSettings

SETTINGS_MODELS: dict[str, type[BaseModel]] = {
    'entry': EntrySettings,
    'stand-in-platform': PlatformStandInSettings,
    'stand-in-target': TargetStandInSettings,
}


@click.command(name='check')
@click.argument('role', type=click.Choice(sorted(SETTINGS_MODELS)))
@click.argument('settings_path', type=click.Path(path_type=Path, dir_okay=False))
@click.pass_obj
def check_command(env: Environment, role: str, settings_path: Path) -> None:
    """Check the settings file of a role."""
    load_settings(SETTINGS_MODELS[role], settings_path)
    env.print_line(f'{settings_path}: valid settings for {role}')
