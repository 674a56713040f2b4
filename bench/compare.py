"""Compares two bench files: `make bench-compare OLD=build/old.json`."""

import json
from pathlib import Path
from typing import Any

import click


@click.command()
@click.argument('old_path', type=click.Path(path_type=Path, exists=True))
@click.argument('new_path', type=click.Path(path_type=Path, exists=True))
def main(old_path: Path, new_path: Path) -> None:
    """Print each figure of both files and the ratio of the new one to the old one."""
    old = _read(old_path)
    new = _read(new_path)
    click.echo(f'old: {old["run"]}\nnew: {new["run"]}')
    names = sorted({*old['figures'], *new['figures']})
    width = max(map(len, names), default=0)
    for name in names:
        click.echo(_format_row(name, width, old['figures'].get(name), new['figures'].get(name)))


def _read(path: Path) -> Any:
    return json.loads(path.read_text(encoding='utf-8'))


def _format_row(name: str, width: int, old: float | None, new: float | None) -> str:
    if old is None or new is None:
        return f'{name:<{width}}  only in the {"new" if old is None else "old"} file'
    ratio = f'{new / old:.3f}' if old else '-'
    return f'{name:<{width}}  {old:>12g}  {new:>12g}  {ratio:>8}'


if __name__ == '__main__':
    main()
