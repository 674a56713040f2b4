"""The scenarios that the lab knows by name."""

from dataclasses import dataclass, replace

from comfreywind.lab.demand import Demand
from comfreywind.lab.fleet_model import FleetModel
from comfreywind.lab.scenario import Scenario

# Means of the users' deployments: a demand that comes by turns asks four times its mean in its own.
TURNS = {'turn_count': 4, 'turn_s': 4.0, 'peak': 4.0, 'rest': 0.05}
QUEUES = ('timetable', 'crews', 'notices', 'enquiries')


@dataclass(frozen=True, slots=True)
class _Sizes:
    """Jobs by the second of each queue, tasks of a step, and cores of light and heavy tasks."""

    jobs_per_s: tuple[float, float, float, float]
    light_tasks: int
    light_millicores: int
    heavy_millicores: int


SMALL = _Sizes((2.6, 0.65, 3.1, 0.75), 6, 1_800, 3_800)
CROWDED = _Sizes((4.5, 1.1, 5.4, 1.3), 6, 1_800, 3_800)
GROWN = _Sizes((9.14, 2.92, 11.4, 3.58), 8, 3_100, 6_700)


def _make_demand(sizes: _Sizes, number: int, turns: bool) -> Demand:
    heavy = number % 2
    demand = Demand(
        QUEUES[number],
        sizes.jobs_per_s[number],
        mean_steps=2 if heavy else 1.6,
        mean_tasks=8 if heavy else sizes.light_tasks,
        task_s=1.3 if heavy else 1,
        task_millicores=sizes.heavy_millicores if heavy else sizes.light_millicores,
        task_memory_mb=19_000 if heavy else 6_300,
        worth=1.42 if heavy else 0.4,
        priority=heavy,
        turn=number,
    )
    return replace(demand, **TURNS) if turns else demand  # type: ignore[arg-type]


def _make_scenario(name: str, sizes: _Sizes, vms: tuple[int, ...], turns: bool = True) -> Scenario:
    fleet = FleetModel(dict(zip((*QUEUES, 'standby'), vms, strict=True)))
    demands = tuple(_make_demand(sizes, number, turns) for number in range(len(QUEUES)))
    return Scenario(name, fleet, demands)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        _make_scenario('turns-small', SMALL, (8, 9, 11, 12, 8)),
        _make_scenario('turns-crowded', CROWDED, (8, 9, 11, 12, 8)),
        _make_scenario('steady-small', SMALL, (8, 9, 11, 12, 8), turns=False),
        _make_scenario('turns-grown', GROWN, (32, 36, 40, 44, 28)),
        _make_scenario('steady-grown', GROWN, (32, 36, 40, 44, 28), turns=False),
    )
}
