"""Cost and speed of portions, against the even split.

`python -m bench.experiments.portions`: writes to the store at rest and under shifting load, time for
units to follow the load, and time until the units of a lost entry are usable again.
"""

import json
import time
from collections.abc import Callable
from typing import Any

import click
import httpcore

from bench.figures import Figures, format_table
from bench.fleet import Fleet, wait_until
from bench.fleet_plan import FleetPlan
from bench.steady_load import SteadyLoad

TEAM = 'timetables'
CEILING_UNITS = 24
MAX_RUN_S = 2
RUN_S = 0.1
CALLERS = 40
SETTLE_S = 5.0
MEASURE_S = 10.0
SHIFTS = 8
RECOVERY_LIMIT_S = 40
SAMPLE_S = 0.02
POLICIES = ('even-split', 'portions')
SIZES = (3, 9)
BUNDLE: dict[str, Any] = {
    'teams': {TEAM: {'ceiling_units': CEILING_UNITS}},
    'pools': {'crossings': {'max_run_s': MAX_RUN_S, 'minimum_available_ratio': 0.1}},
    'queues': {'rebuild': {'pool': 'crossings', 'teams': [TEAM]}},
}


def measure(figures: Figures) -> None:
    """Add all figures."""
    for entries_count in SIZES:
        for policy in POLICIES:
            with Fleet(make_plan(entries_count, policy)) as fleet:
                _measure_load(figures, fleet, f'{policy}_{entries_count}_entries')
    for loss in ('kill', 'freeze'):
        with Fleet(make_plan(3, 'portions')) as fleet:
            figures.add(f'portions_units_usable_after_{loss}_s', _measure_loss(fleet, loss))


def make_plan(entries_count: int, policy: str) -> FleetPlan:
    """Return the plan of a fleet with more slots than the ceiling."""
    return FleetPlan(
        entries_count=entries_count,
        executors_by_pool={'crossings': 6},
        bundle=BUNDLE,
        entry_settings={'unit_policy': policy},
    )


def _measure_load(figures: Figures, fleet: Fleet, name: str) -> None:
    entries_count = fleet.plan.entries_count
    time.sleep(SETTLE_S)
    writes_per_s = _measure_writes(fleet, lambda: time.sleep(MEASURE_S))
    figures.add(f'{name}_writes_per_s_per_entry_at_rest', writes_per_s / entries_count)
    with SteadyLoad(fleet, TEAM, 'rebuild', RUN_S) as load:
        load.set_callers(0, CALLERS)
        time.sleep(SETTLE_S)
        figures.add(f'{name}_use_of_ceiling_by_one_entry', _measure_use(fleet))
        if 'even' in name:
            return
        follow_s: list[float] = []
        writes_per_s = _measure_writes(fleet, lambda: _shift_load(fleet, load, follow_s))
    figures.add(f'{name}_writes_per_s_per_entry_shifting', writes_per_s / entries_count)
    figures.add(f'{name}_units_follow_load_mean_s', sum(follow_s) / len(follow_s))
    figures.add(f'{name}_units_follow_load_longest_s', max(follow_s))
    figures.add(f'{name}_highest_running', fleet.read_run_log()['highest_running'][TEAM])


def _shift_load(fleet: Fleet, load: SteadyLoad, follow_s: list[float]) -> None:
    for shift in range(1, SHIFTS + 1):
        follow_s.append(_move_load(fleet, load, shift % fleet.plan.entries_count))
        time.sleep(1)


def _move_load(fleet: Fleet, load: SteadyLoad, busy: int) -> float:
    """Let only one entry be called and return the seconds until it runs at the ceiling."""
    entries = range(fleet.plan.entries_count)
    started_s = time.monotonic()
    for entry in entries:
        load.set_callers(entry, CALLERS if entry == busy else 0)
    idle = [entry for entry in entries if entry != busy]
    _wait(lambda: not any(load.in_flight[entry] for entry in idle), 'idle entries')
    _wait(lambda: read_running(fleet) >= CEILING_UNITS - 1, 'full use')
    return time.monotonic() - started_s


def _measure_loss(fleet: Fleet, loss: str) -> float:
    with SteadyLoad(fleet, TEAM, 'rebuild', RUN_S) as load:
        load.set_callers(1, CALLERS)
        _wait(lambda: read_running(fleet) >= CEILING_UNITS - 1, 'full use')
        getattr(fleet.entries[1], loss)()
        lost_s = time.monotonic()
        load.set_callers(0, CALLERS)
        _wait(lambda: read_running(fleet) < CEILING_UNITS // 2, 'idle units')
        _wait(lambda: read_running(fleet) >= CEILING_UNITS - 1, 'full use')
        return time.monotonic() - lost_s


def _measure_use(fleet: Fleet) -> float:
    samples = []
    deadline_s = time.monotonic() + SETTLE_S
    while time.monotonic() < deadline_s:
        samples.append(read_running(fleet))
        time.sleep(SAMPLE_S)
    return sum(samples) / len(samples) / CEILING_UNITS


def _measure_writes(fleet: Fleet, run: Callable[[], None]) -> float:
    writes_before = _read_writes(fleet)
    started_s = time.monotonic()
    run()
    return (_read_writes(fleet) - writes_before) / (time.monotonic() - started_s)


def _read_writes(fleet: Fleet) -> int:
    reply = httpcore.request('GET', f'http://{fleet.platform_address}/stand-in/counters')
    return int(json.loads(reply.content)['transactions'])


def read_running(fleet: Fleet) -> int:
    """Return what runs now for the team at all targets."""
    return fleet.read_run_log()['running'].get(TEAM, 0)


def _wait(condition: Callable[[], bool], name: str) -> None:
    wait_until(condition, name, RECOVERY_LIMIT_S)


def main() -> None:
    """Run the experiment and print its figures."""
    figures = Figures()
    measure(figures)
    click.echo(format_table(figures))


if __name__ == '__main__':
    main()
