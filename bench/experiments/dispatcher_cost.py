"""Processor time of the dispatcher for each request: `python -m bench.experiments.dispatcher_cost`.

Many callers wait in one process for the slots of a few targets, without any network.
"""

import time
from collections import Counter
from dataclasses import dataclass, field

import click
import trio

from comfreywind.bundle.parse import make_rules, parse_bundle
from comfreywind.clock import SystemClock
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.even_split_units import EvenSplitUnits
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.ticket import Ticket
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.settings.address import Address

DEADLINE_S = 3600
POOL = 'crossings'


@dataclass(slots=True)
class CostRun:
    """Size of a run and what it counted."""

    waiting: int
    teams: int
    targets: int
    run_s: float
    duration_s: float
    counts: Counter[str] = field(default_factory=Counter)


def make_parts(run: CostRun) -> tuple[Dispatcher, RulesView]:
    """Return a dispatcher with its fleet and rules."""
    names = [f'team-{index}' for index in range(run.teams)]
    bundle = {
        'teams': {name: {'ceiling_units': 100_000} for name in names},
        'pools': {POOL: {}},
        'queues': {'rebuild': {'pool': POOL, 'teams': names, 'queue_limit': 100_000}},
    }
    clock = SystemClock()
    rules_view = RulesView(clock, DEADLINE_S)
    fleet_view = FleetView()
    dispatcher = Dispatcher(rules_view, fleet_view, EvenSplitUnits(rules_view, 1), clock)
    address = Address('127.0.0.1', 1)
    fleet_view.apply_vm_list(
        VmEntry(f'vm-{index}', address, 'dc-1', 'rack', POOL, 'live', 1)
        for index in range(run.targets)
    )
    rules_view.apply_rules(make_rules(parse_bundle(bundle, 'bench'), 1))
    return dispatcher, rules_view


async def call_repeatedly(dispatcher: Dispatcher, ticket: Ticket, run: CostRun) -> None:
    """Wait for a place, hold it for the run time, and begin again."""
    while True:
        try:
            placement = await dispatcher.acquire(ticket)
        except RefusalError:
            run.counts['refused'] += 1
            await trio.lowlevel.checkpoint()
            continue
        run.counts['started'] += 1
        try:
            await trio.sleep(run.run_s)
        finally:
            dispatcher.release(placement)


async def measure(run: CostRun) -> float:
    """Return the processor time in microseconds for each start."""
    dispatcher, rules_view = make_parts(run)
    rules = rules_view.rules
    if rules is None:
        raise RuntimeError('the bundle was not applied')
    deadline_s = SystemClock().read_monotonic_s() + DEADLINE_S
    with trio.move_on_after(run.duration_s):
        async with trio.open_nursery() as nursery:
            for index in range(run.waiting):
                ticket = Ticket(
                    str(index), rules.queues['rebuild'], f'team-{index % run.teams}', deadline_s
                )
                nursery.start_soon(call_repeatedly, dispatcher, ticket, run)
            await trio.sleep(run.duration_s / 4)
            run.counts.clear()
            started_s = time.process_time()
            await trio.sleep(run.duration_s / 2)
            spent_s = time.process_time() - started_s
            nursery.cancel_scope.cancel()
    return spent_s / max(1, run.counts['started']) * 1_000_000


@click.command()
@click.option('--targets', default=8)
@click.option('--run-s', default=0.02)
@click.option('--duration-s', default=6.0)
def main(targets: int, run_s: float, duration_s: float) -> None:
    """Print the cost of a start with different numbers of waiting requests and teams."""
    for waiting, teams in ((100, 1), (1000, 1), (4000, 1), (4000, 63), (8000, 63)):
        run = CostRun(waiting, teams, targets, run_s, duration_s)
        cost_us = trio.run(measure, run)
        rate = run.counts['started'] / (duration_s / 2)
        click.echo(
            f'{waiting} callers, {teams} teams: {cost_us:.0f} us CPU per start, {rate:.0f} starts/s '
            f'of {targets * 8 / run_s:.0f} possible, {run.counts["refused"]} refused'
        )


if __name__ == '__main__':
    main()
