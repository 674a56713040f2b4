"""Runs the whole program in-process."""

import io
from dataclasses import dataclass

from comfreywind import core
from comfreywind.environment import Environment
from comfreywind.exit_status import ExitStatus


@dataclass(frozen=True, slots=True)
class ProgramResult:
    """Output and exit status of one run."""

    exit_status: ExitStatus
    stdout: str
    stderr: str


def run_program(*args: str) -> ProgramResult:
    """Run the program with the arguments and return what it printed."""
    env = Environment(io.StringIO(), io.StringIO(), io.StringIO())
    exit_status = core.main(list(args), env)
    assert isinstance(env.stdout, io.StringIO)
    assert isinstance(env.stderr, io.StringIO)
    return ProgramResult(exit_status, env.stdout.getvalue(), env.stderr.getvalue())
