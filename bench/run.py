"""Runs all sections and writes build/bench.json: `make bench`."""

import sys
import time
from collections.abc import Callable

import click

from bench.figures import ROOT, Figures, format_table
from bench.sections import at_rest, forwarding, maintenance, propagation, recovery, shares

OUTPUT_PATH = ROOT / 'build' / 'bench.json'
# A section that would start later than this is left out, so that the whole run ends in 8 minutes.
LAST_START_S = 420
SECTIONS: tuple[tuple[str, Callable[[Figures], None]], ...] = (
    ('forwarding', forwarding.measure),
    ('propagation', propagation.measure),
    ('recovery', recovery.measure),
    ('at_rest', at_rest.measure),
    ('shares', shares.measure),
    ('maintenance', maintenance.measure),
)


@click.command()
@click.option('--only', multiple=True, help='Run only this section; may be given again.')
def main(only: tuple[str, ...]) -> None:
    """Measure, print a table and write the figures; exit with 1 when one is invalid."""
    figures = Figures()
    started_s = time.monotonic()
    for name, measure in SECTIONS:
        if only and name not in only:
            continue
        _run_section(figures, name, measure, time.monotonic() - started_s)
    figures.add('bench_duration_s', time.monotonic() - started_s)
    figures.write(OUTPUT_PATH)
    click.echo(format_table(figures))
    sys.exit(1 if figures.invalid else 0)


def _run_section(
    figures: Figures, name: str, measure: Callable[[Figures], None], elapsed_s: float
) -> None:
    if elapsed_s > LAST_START_S:
        figures.mark_invalid(name, 'left out, because the run would take too long')
        return
    click.echo(f'{elapsed_s:5.0f} s  {name}')
    try:
        measure(figures)
    except (TimeoutError, RuntimeError, OSError) as error:
        figures.mark_invalid(name, repr(error))


if __name__ == '__main__':
    main()
