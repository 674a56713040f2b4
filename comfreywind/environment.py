"""The surroundings of one run of the program: streams, name and variables."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(slots=True)
class Environment:
    """Streams and variables of a run, so that tests can run the whole program in-process."""

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    program_name: str = 'comfreywind'
    variables: Mapping[str, str] = field(default_factory=dict)

    @classmethod
    def from_process(cls) -> 'Environment':
        """Return the environment of this process."""
        return cls(sys.stdin, sys.stdout, sys.stderr, variables=os.environ)

    def print_line(self, text: str) -> None:
        """Write one line to standard output."""
        self.stdout.write(f'{text}\n')
        self.stdout.flush()

    def print_error(self, text: str) -> None:
        """Write one line that starts with the program's name to standard error."""
        self.stderr.write(f'{self.program_name}: {text}\n')
        self.stderr.flush()
