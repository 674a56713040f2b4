"""Shares, goodput and urgent starts of both policies: `python -m bench.experiments.shares`."""

import json
from dataclasses import asdict
from pathlib import Path

import click
import psutil

from bench.experiments.share_figures import ShareFigures, make_figures, make_row
from bench.experiments.share_scenario import (
    ENTRIES,
    EXECUTORS,
    POOL,
    SLOTS_PER_EXECUTOR,
    ShareScenario,
    make_scenarios,
)
from bench.fleet import Fleet
from bench.fleet_plan import FleetPlan
from bench.load import read_cpu_s, run_load

UNIT_POLICIES = {'shares': 'portions', 'naive': 'even-split'}
HEADINGS = (
    'scenario',
    'policy',
    'offered/s',
    'goodput/s',
    'lowest share',
    'mean share',
    'answer p99 ms',
    'refusal p50/p99 ms',
    'urgent start max ms',
    'ceiling excess',
    'busiest entry',
    'valid',
)


def run_scenario(scenario: ShareScenario, policy: str) -> ShareFigures:
    """Run one scenario on a fleet of its own."""
    fleet_plan = FleetPlan(
        entries_count=ENTRIES,
        executors_by_pool={POOL: EXECUTORS},
        slots=SLOTS_PER_EXECUTOR,
        bundle=scenario.make_bundle(),
        entry_settings={'policy': policy, 'unit_policy': UNIT_POLICIES[policy]},
    )
    with Fleet(fleet_plan) as fleet:
        pids = tuple(process.pid for process in (*fleet.targets, fleet.platform))
        load_plan = scenario.make_plan(fleet.caller_addresses, fleet.keys, pids)
        entries = [psutil.Process(entry.pid) for entry in fleet.entries]
        used_s = [read_cpu_s(entry) for entry in entries]
        load = run_load(load_plan)
        busy = [
            (read_cpu_s(entry) - used) / load_plan.duration_s
            for entry, used in zip(entries, used_s, strict=True)
            if entry.is_running()
        ]
        highest_running = fleet.read_run_log()['highest_running']
        ended = [entry.name for entry in fleet.entries if not entry.is_running()]
    load.faults.extend(f'{name} ended' for name in ended)
    figures = make_figures(scenario, policy, load_plan, load, highest_running)
    figures.busiest_entry_ratio = round(max(busy, default=0), 3)
    return figures


@click.command()
@click.option('--policy', 'policies', multiple=True, default=('shares', 'naive'))
@click.option('--only', default='', help='Run scenarios whose name contains this text.')
@click.option('--output', type=click.Path(path_type=Path), default=Path('build/shares.json'))
def main(policies: tuple[str, ...], only: str, output: Path) -> None:
    """Run all scenarios under each policy, print a table and write the figures as JSON."""
    click.echo(' | '.join(HEADINGS))
    rows = []
    for scenario in make_scenarios():
        for policy in policies if only in scenario.name else ():
            figures = run_scenario(scenario, policy)
            click.echo(' | '.join(make_row(figures)))
            rows.append(asdict(figures))
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(rows, indent=2), encoding='utf-8')


if __name__ == '__main__':
    main()
