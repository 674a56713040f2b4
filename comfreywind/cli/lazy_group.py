"""A group that imports its commands when they are used."""

from importlib import import_module

import click


class LazyGroup(click.Group):
    """Takes commands by the name of their module and attribute.

    A node serves for weeks on a VM with 200 MB; the modules of all other commands would take a
    tenth of its memory and of its start.
    """

    def __init__(self, *args: object, lazy_commands: dict[str, str], **options: object) -> None:
        """Take `lazy_commands` as name to `module:attribute`."""
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self._lazy_commands = lazy_commands

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted({*super().list_commands(ctx), *self._lazy_commands})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command, imported now if it was not before."""
        path = self._lazy_commands.get(cmd_name)
        if path is None:
            return super().get_command(ctx, cmd_name)
        module, _, attribute = path.partition(':')
        command: click.Command = getattr(import_module(module), attribute)
        return command
