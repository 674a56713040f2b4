"""Figures of experiments: flat names with a unit suffix."""

import json
import platform
import subprocess
from dataclasses import dataclass, field
from pathlib import Path

import psutil

ROOT = Path(__file__).parent.parent
BYTES_PER_GB = 1_000_000_000


@dataclass(slots=True)
class Figures:
    """Numbers by name, and the reason of each one that could not be measured."""

    numbers: dict[str, float] = field(default_factory=dict)
    invalid: dict[str, str] = field(default_factory=dict)

    def add(self, name: str, number: float) -> None:
        """Keep a figure, rounded to four significant digits."""
        self.numbers[name] = float(f'{number:.4g}')

    def mark_invalid(self, name: str, reason: str) -> None:
        """Note that a figure could not be measured; it is left out of the numbers."""
        self.numbers.pop(name, None)
        self.invalid[name] = reason

    def to_document(self) -> dict[str, object]:
        """Return the figures with the commit and the facts of the machine."""
        return {'figures': self.numbers, 'invalid': self.invalid, 'run': describe_run()}

    def write(self, path: Path) -> None:
        """Write the document as JSON."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(self.to_document(), indent=2), encoding='utf-8')


def describe_run() -> dict[str, str]:
    """Return commit, processor count, memory and Python version."""
    memory_gb = psutil.virtual_memory().total / BYTES_PER_GB
    return {
        'commit': _run_git('rev-parse', '--short', 'HEAD'),
        'changed': str(bool(_run_git('status', '--porcelain', '--untracked-files=no'))),
        'cores': str(psutil.cpu_count()),
        'memory_gb': f'{memory_gb:.0f}',
        'python': platform.python_version(),
    }


def format_table(figures: Figures) -> str:
    """Return the figures as lines, the ones that could not be measured last."""
    width = max(map(len, [*figures.numbers, *figures.invalid]), default=0)
    lines = [f'{name:<{width}}  {number:>12g}' for name, number in figures.numbers.items()]
    lines.extend(f'{name:<{width}}  invalid: {reason}' for name, reason in figures.invalid.items())
    return '\n'.join(lines)


def _run_git(*arguments: str) -> str:
    completed = subprocess.run(
        ['git', *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip() or 'unknown'
