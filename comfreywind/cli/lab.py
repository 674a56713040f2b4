"""`comfreywind lab`: compares policies over emulated pools and demand."""

from collections.abc import Mapping, Sequence
from dataclasses import fields, replace
from importlib import import_module
from pathlib import Path
from typing import Any

import click

from comfreywind.cli.text_table import format_table
from comfreywind.decisions.scheduling.pool_policy import PoolPolicy
from comfreywind.environment import Environment
from comfreywind.lab.experiment import compare, find_mean
from comfreywind.lab.lab_policy import LabPolicy
from comfreywind.lab.outcome import Outcome
from comfreywind.lab.policies import POLICIES
from comfreywind.lab.scenarios import SCENARIOS

SETTINGS = tuple(field.name for field in fields(PoolPolicy))
HEADINGS = (
    'policy',
    'served',
    'worst windows',
    'worst queue',
    'VM-seconds',
    'moves',
    'holder busy',
)
FIGURES = (
    ('served', '{:.3f}'),
    ('worst_windows', '{:.2f}'),
    ('worst_queue', '{:.2f}'),
    ('vm_seconds', '{:.0f}'),
    ('moves', '{:.0f}'),
    ('busy_s', '{:.1f} s'),
)
scenario_option = click.option(
    '--scenario', 'scenario_name', type=click.Choice(sorted(SCENARIOS)), default='turns-small'
)
seeds_option = click.option(
    '--seeds', 'seed_count', type=click.IntRange(1), default=4, help='How many seeds are played.'
)
processes_option = click.option(
    '--processes', type=click.IntRange(1), default=2, help='How many runs at the same time.'
)
page_option = click.option(
    '--page',
    type=click.Path(path_type=Path, dir_okay=False),
    help='Also write a page with plots; needs the extra `lab`.',
)


@click.group(name='lab')
def lab_group() -> None:
    """Compare policies over emulated pools and demand, without any network."""


@lab_group.command(name='compare')
@click.argument('names', nargs=-1, type=click.Choice(sorted(POLICIES)))
@scenario_option
@seeds_option
@processes_option
@page_option
@click.pass_obj
def compare_command(
    env: Environment,
    names: tuple[str, ...],
    scenario_name: str,
    seed_count: int,
    processes: int,
    page: Path | None,
) -> None:
    """Play a scenario under the named policies, all of them by default."""
    policies = [POLICIES[name] for name in names or POLICIES]
    outcomes = compare(SCENARIOS[scenario_name], policies, range(seed_count), processes)
    print_outcomes(env, outcomes, scenario_name, page)


@lab_group.command(name='sweep')
@click.argument('setting', type=click.Choice(SETTINGS))
@click.argument('levels', nargs=-1, required=True, type=float)
@scenario_option
@seeds_option
@processes_option
@page_option
@click.pass_obj
def sweep_command(
    env: Environment,
    setting: str,
    levels: tuple[float, ...],
    scenario_name: str,
    seed_count: int,
    processes: int,
    page: Path | None,
) -> None:
    """Play a scenario with several levels of one setting of the sizing of pools."""
    policies = [
        LabPolicy(f'{setting}={level:g}', change_setting(setting, level)) for level in levels
    ]
    outcomes = compare(SCENARIOS[scenario_name], policies, range(seed_count), processes)
    print_outcomes(env, outcomes, scenario_name, page)


def change_setting(setting: str, level: float) -> PoolPolicy:
    """Return the usual policy with one other setting, a whole number where it has to be one."""
    whole = isinstance(getattr(PoolPolicy(), setting), int) and level.is_integer()
    changes: dict[str, Any] = {setting: int(level) if whole else level}
    return replace(PoolPolicy(), **changes)


def print_outcomes(
    env: Environment,
    outcomes: Mapping[str, Sequence[Outcome]],
    title: str,
    page: Path | None,
) -> None:
    """Print the means as a table, and write the page when one is asked for."""
    env.print_line(format_table(HEADINGS, [_make_row(name, outcomes[name]) for name in outcomes]))
    if page is not None:
        # The library for plots is needed for nothing else.
        import_module('comfreywind.lab.page').write_page(page, title, outcomes)


def _make_row(name: str, outcomes: Sequence[Outcome]) -> list[str]:
    means = (layout.format(find_mean(outcomes, figure)) for figure, layout in FIGURES)
    return [name, *means]
