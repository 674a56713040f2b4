"""Builds `dist/comfreywind`, one executable file: `make binary`."""

import subprocess
import sys
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent
BINARY_PATH = ROOT / 'dist' / 'comfreywind'


def build_binary(path: Path = BINARY_PATH) -> Path:
    """Build the file with shiv from the pinned runtime requirements and return its path.

    The file runs as one process with the Python of its VM and unpacks once into the folder that
    SHIV_ROOT names, which is memory-backed on VMs without disks.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    arguments = [
        sys.executable,
        '-m',
        'shiv',
        '--quiet',
        '--reproducible',
        '--python',
        '/usr/bin/env python3',
        '--entry-point',
        'comfreywind.__main__:main',
        '--output-file',
        str(path),
        '--no-build-isolation',
        '--disable-pip-version-check',
        '-r',
        str(ROOT / 'requirements' / 'runtime.txt'),
        str(ROOT),
    ]
    subprocess.run(arguments, check=True)
    return path


def main() -> None:
    """Build the file and print its size."""
    path = build_binary()
    click.echo(f'{path.relative_to(ROOT)}: {path.stat().st_size / 1_000_000:.1f} MB')


if __name__ == '__main__':
    main()
