"""Starts the program: `python -m comfreywind` and the installed script."""

import sys

from comfreywind import core
from comfreywind.environment import Environment


def main() -> None:
    """Run with the process's own arguments and streams, then exit."""
    sys.exit(core.main(sys.argv[1:], Environment.from_process()))


if __name__ == '__main__':
    main()
