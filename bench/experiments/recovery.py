"""Time until goodput is back after a fault: `python -m bench.experiments.recovery`.

In the entry scenarios one team asks for more than its ceiling, so goodput comes back only when the
units of the lost entry are usable elsewhere. In the target scenarios the load fits what is left.
"""

from collections.abc import Callable
from dataclasses import dataclass

import click

from bench.experiments.check_runs import count_false_outcomes
from bench.figures import Figures, format_table
from bench.fleet import Fleet
from bench.fleet_plan import FleetPlan
from bench.timeline import Event, Stream, Timeline, find_recovery_s, measure_goodput_hz

WARM_UP_S = 4.0
FAULT_S = 9.0
END_S = 30.0
GOAL_RATIO = 0.95
RUN_S = 0.1
TEAM = 'timetables'
ENTRY_SCENARIOS = frozenset(('entry_killed', 'entry_frozen'))
CEILING_UNITS = 24
EXECUTORS = 8
BUNDLE = {
    'teams': {TEAM: {'ceiling_units': CEILING_UNITS}, 'rosters': {'ceiling_units': 1000}},
    'pools': {'crossings': {'max_run_s': 3, 'minimum_available_ratio': 0.25}},
    'queues': {'rebuild': {'pool': 'crossings', 'teams': [TEAM, 'rosters'], 'queue_limit': 30}},
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault and the load during it; the rate is that of all entries together."""

    name: str
    team: str
    rate_hz: float
    bring_about: Callable[[Fleet], object]
    method: str = 'GET'


def silence_targets(fleet: Fleet) -> None:
    """Make all connections to the targets that are open now silent."""
    for index in range(EXECUTORS):
        fleet.set_target_faults(index, silence_open_connections=True)


SCENARIOS = (
    Scenario('entry_killed', TEAM, 400, lambda fleet: fleet.entries[0].kill()),
    Scenario('entry_frozen', TEAM, 400, lambda fleet: fleet.entries[0].freeze()),
    Scenario('targets_silent', 'rosters', 150, silence_targets),
    Scenario('half_of_targets_killed', 'rosters', 150, lambda fleet: fleet.targets[0].kill()),
    Scenario('half_of_targets_frozen', 'rosters', 150, lambda fleet: fleet.targets[0].freeze()),
    Scenario(
        'half_of_targets_killed_post',
        'rosters',
        150,
        lambda fleet: fleet.targets[0].kill(),
        'POST',
    ),
)


def measure(figures: Figures, scenarios: tuple[Scenario, ...] = SCENARIOS) -> None:
    """Add the recovery time of each scenario and the outcomes that were not true."""
    for scenario in scenarios:
        plan = FleetPlan(
            executors_by_pool={'crossings': EXECUTORS}, bundle=BUNDLE, target_processes=2
        )
        with Fleet(plan) as fleet:
            _measure_scenario(figures, scenario, fleet)


def _measure_scenario(figures: Figures, scenario: Scenario, fleet: Fleet) -> None:
    streams = [
        Stream(
            address,
            f'/queues/rebuild/work?duration_s={RUN_S}',
            fleet.keys[scenario.team],
            scenario.rate_hz / len(fleet.caller_addresses),
            scenario.method,
        )
        for address in fleet.caller_addresses
    ]
    event = Event(FAULT_S, lambda: scenario.bring_about(fleet))
    samples = Timeline(streams, [event], END_S).run()
    before_hz = measure_goodput_hz(samples, WARM_UP_S, FAULT_S)
    goal_hz = GOAL_RATIO * before_hz
    if scenario.name in ENTRY_SCENARIOS:
        goal_hz = GOAL_RATIO * min(before_hz, scenario.rate_hz * 2 / 3)
    recovery_s = find_recovery_s(samples, FAULT_S, END_S, goal_hz)
    figures.add(f'recovery_{scenario.name}_goodput_before_hz', before_hz)
    if recovery_s is None:
        figures.mark_invalid(f'recovery_{scenario.name}_s', f'not back after {END_S - FAULT_S} s')
    else:
        figures.add(f'recovery_{scenario.name}_s', recovery_s)
    doubled, false_not_run = count_false_outcomes(fleet, samples)
    figures.add(f'recovery_{scenario.name}_doubled', doubled)
    figures.add(f'recovery_{scenario.name}_not_run_but_ran', false_not_run)


def main() -> None:
    """Run the experiment and print its figures."""
    figures = Figures()
    measure(figures)
    click.echo(format_table(figures))


if __name__ == '__main__':
    main()
