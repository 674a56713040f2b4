"""`comfreywind entry`: runs an entry process."""

from pathlib import Path

import click
import trio

from comfreywind.cli.options import settings_option
from comfreywind.entry.run import run_entry
from comfreywind.settings.entry import EntrySettings
from comfreywind.settings.loader import load_settings


@click.command(name='entry')
@settings_option
def entry_command(settings_path: Path) -> None:
    """Run an entry process until SIGTERM."""
    trio.run(run_entry, load_settings(EntrySettings, settings_path))
