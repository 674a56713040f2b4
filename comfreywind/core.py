"""The program from arguments to exit status."""

import click

from comfreywind.cli.root import root_command
from comfreywind.environment import Environment
from comfreywind.errors import ComfreywindError
from comfreywind.exit_status import ExitStatus


def main(args: list[str], env: Environment) -> ExitStatus:
    """Run the command named by `args` and return the exit status.

    Errors that a user can mend are printed as one line on `env.stderr`.
    """
    try:
        run_command(args, env)
    except click.exceptions.Exit as exit_request:
        return ExitStatus(exit_request.exit_code)
    except click.ClickException as usage_error:
        env.print_error(usage_error.format_message())
        return ExitStatus.USAGE_ERROR
    except ComfreywindError as error:
        env.print_error(str(error))
        return error.exit_status
    return ExitStatus.SUCCESS


def run_command(args: list[str], env: Environment) -> None:
    """Run the command; raise click's exceptions or an error of the project when it fails."""
    try:
        root_command.main(args=args, prog_name=env.program_name, obj=env, standalone_mode=False)
    except ExceptionGroup as group:
        raise find_project_error(group) from group


def find_project_error(group: ExceptionGroup[Exception]) -> Exception:
    """Return the first error of parallel tasks if all are the project's own, else the group."""
    project_errors, other_errors = group.split(ComfreywindError)
    if project_errors is None or other_errors is not None:
        return group
    error: Exception = project_errors
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error
