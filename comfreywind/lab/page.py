"""A report page with plots; needs the extra `lab`."""

from collections.abc import Mapping, Sequence
from html import escape
from io import StringIO
from pathlib import Path

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from comfreywind.lab.experiment import find_mean
from comfreywind.lab.outcome import Outcome
from comfreywind.lab.worth import WINDOW_S

FIGURES = (
    ('served', 'Worth earned of worth owed'),
    ('worst_windows', 'Worth earned in the two worst windows of 2 s'),
    ('vm_seconds', 'VM-seconds in pools'),
    ('moves', 'VMs moved'),
)


def write_page(path: Path, title: str, outcomes: Mapping[str, Sequence[Outcome]]) -> None:
    """Write one HTML page with a bar chart for each figure and a line chart over time."""
    figure = Figure(figsize=(9, 4 * (len(FIGURES) + 1)), layout='constrained')
    axes = figure.subplots(len(FIGURES) + 1)
    for axis, (name, label) in zip(axes, FIGURES, strict=False):
        axis.set_title(label)
        axis.bar(list(outcomes), [find_mean(runs, name) for runs in outcomes.values()])
    _draw_windows(axes[-1], outcomes)
    drawing = StringIO()
    figure.savefig(drawing, format='svg')
    heading = f'<!doctype html><meta charset="utf-8"><title>{escape(title)}</title>'
    page = f'{heading}<h1>{escape(title)}</h1>{drawing.getvalue()}'
    path.write_text(page, encoding='utf-8')


def _draw_windows(axis: Axes, outcomes: Mapping[str, Sequence[Outcome]]) -> None:
    axis.set_title('Part of the worth earned, by the time a job was handed in (s)')
    for name, runs in outcomes.items():
        points = _join_windows(runs)
        axis.plot([time_s for time_s, _ in points], [earned for _, earned in points], label=name)
    axis.legend()


def _join_windows(runs: Sequence[Outcome]) -> list[tuple[float, float]]:
    sums: dict[int, list[float]] = {}
    for outcome in runs:
        for window, (owed, earned) in outcome.earned_by_window.items():
            total = sums.setdefault(window, [0, 0])
            total[0] += owed
            total[1] += earned
    return [
        (window * WINDOW_S, earned / owed)
        for window, (owed, earned) in sorted(sums.items())
        if owed
    ]
