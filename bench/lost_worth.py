"""Tables of the worth that a day lost, from the report of the users' bench.

python -m bench.lost_worth REPORT...

The report is written by `fleetbench run --report FILE`. Its words differ from those of the project:
a window is two seconds of the day, a class a kind of request, G the worth.
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

LISTED_WINDOWS = 5
# Prices below this part of a day's worth are left out.
MIN_PRICE = 0.005
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Loss:
    """One line of the table: what lost worth, how much, and what is known of it."""

    subject: str
    lost: float
    detail: str = ''


def list_part_losses(report: dict[str, Any]) -> list[Loss]:
    """Return what each part of the worth lost, weighted as the users weigh it."""
    total = sum(weight for _, weight, _ in report['parts'])
    return [
        Loss(name, weight / total * (1 - earned), f'earned {earned:.3f}')
        for name, weight, earned in report['parts']
    ]


def list_price_losses(report: dict[str, Any]) -> list[Loss]:
    """Return the prices that matter, the highest first."""
    losses = [
        Loss(name, cost, f'{amount:g}')
        for name, amount, cost in report['prices']
        if cost >= MIN_PRICE
    ]
    return sorted(losses, key=lambda loss: -loss.lost)


def list_window_losses(report: dict[str, Any]) -> list[Loss]:
    """Return the windows with the lowest worth, the lowest first."""
    owed = [window for window in report['windows'] if window['worth'] is not None]
    worst = sorted(owed, key=lambda window: window['worth'])[:LISTED_WINDOWS]
    return [
        Loss(
            f'from {window["name"]} s',
            1 - window['worth'],
            f'{window["n"]} requests, {window["late"]} late, {window["refused"]} refused, '
            f'{window["failed"]} failed, p99 {window["p99_ms"] / MS_PER_S:.1f} s',
        )
        for window in worst
    ]


def list_class_losses(report: dict[str, Any]) -> list[Loss]:
    """Return what each kind of request lost of its worth, the most first."""
    losses = [
        Loss(each['name'], 1 - each['worth'], f'{each["n"]} requests, {each["late"]} late')
        for each in report['classes']
        if each['worth'] is not None
    ]
    return sorted(losses, key=lambda loss: -loss.lost)


def format_report(name: str, report: dict[str, Any]) -> str:
    """Return the tables of one report as text."""
    lines = [f'{name}: worth {report["G"]:.3f}']
    for title, losses in (
        ('parts', list_part_losses(report)),
        ('prices', list_price_losses(report)),
        ('windows', list_window_losses(report)),
        ('kinds of request', list_class_losses(report)),
    ):
        lines.append(f'  {title}')
        lines.extend(f'    {loss.lost:6.3f}  {loss.subject}  {loss.detail}' for loss in losses)
    return '\n'.join(lines)


@click.command()
@click.argument('reports', nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
def main(reports: tuple[Path, ...]) -> None:
    """Print what each day of the reports lost, and to what."""
    for path in reports:
        click.echo(format_report(path.stem, json.loads(path.read_text(encoding='utf-8'))))


if __name__ == '__main__':
    main()
