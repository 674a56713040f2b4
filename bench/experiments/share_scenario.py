"""Scenarios of the experiment on shares."""

from dataclasses import dataclass
from typing import Any

from bench.load_plan import BurstShape, LoadPlan, LoadStream

POOL = 'crossings'
EXECUTORS = 4
SLOTS_PER_EXECUTOR = 8
SLOTS = EXECUTORS * SLOTS_PER_EXECUTOR
ENTRIES = 3
WARM_UP_S = 3.0
# High enough that an even split of it never limits a team here.
NO_CEILING = 3000


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """Load of one team: requests a second for each entry by its number."""

    team: str
    rates_hz: tuple[float, float, float]
    queue: str = 'rebuild'
    burst: BurstShape | None = None

    @property
    def rate_hz(self) -> float:
        """Return the rate over all entries."""
        return sum(self.rates_hz)


@dataclass(frozen=True, slots=True)
class ShareScenario:
    """Teams by weight and ceiling, what they ask for, and for how long each request runs."""

    name: str
    teams: dict[str, tuple[float, int]]
    demands: tuple[TeamDemand, ...]
    run_s: float = 0.2
    wait_s: float = 2.0
    duration_s: float = 13.0
    warm_up_s: float = WARM_UP_S

    def make_bundle(self) -> dict[str, Any]:
        """Return the rule bundle."""
        names = list(self.teams)
        return {
            'teams': {
                name: {'weight': weight, 'ceiling_units': ceiling}
                for name, (weight, ceiling) in self.teams.items()
            },
            'pools': {POOL: {'max_run_s': 10, 'slots_per_vm': SLOTS_PER_EXECUTOR}},
            'queues': {
                'rebuild': {'pool': POOL, 'teams': names},
                'urgent': {'pool': POOL, 'teams': names, 'urgent': True},
            },
        }

    def make_plan(
        self, addresses: list[str], keys: dict[str, str], watched_pids: tuple[int, ...]
    ) -> LoadPlan:
        """Return the load, with one stream for each team and entry."""
        streams = [
            LoadStream(
                team=demand.team,
                queue=demand.queue,
                entry=address,
                key=keys[demand.team],
                path=f'/work?duration_s={self.run_s}',
                rate_hz=rate_hz,
                wait_s=self.wait_s,
                burst=demand.burst,
            )
            for demand in self.demands
            for address, rate_hz in zip(addresses, demand.rates_hz, strict=True)
            if rate_hz
        ]
        return LoadPlan(
            streams=tuple(streams),
            duration_s=self.duration_s,
            warm_up_s=self.warm_up_s,
            processes=2,
            watched_pids=watched_pids,
        )


def make_scenarios() -> list[ShareScenario]:
    """Return all scenarios."""
    return [
        *(_make_saturation(factor) for factor in (1, 2, 5)),
        _make_greedy(),
        _make_uneven(),
        *(_make_urgent(run_s) for run_s in (0.2, 2.0)),
        _make_ceiling(),
        _make_bursts(),
    ]


def _spread(rate_hz: float) -> tuple[float, float, float]:
    return rate_hz / ENTRIES, rate_hz / ENTRIES, rate_hz / ENTRIES


def _make_saturation(factor: float) -> ShareScenario:
    run_s = 0.2
    rate_hz = factor * SLOTS / run_s / 2
    return ShareScenario(
        f'saturation x{factor}',
        {'rosters': (1, NO_CEILING), 'timetables': (1, NO_CEILING)},
        (TeamDemand('rosters', _spread(rate_hz)), TeamDemand('timetables', _spread(rate_hz))),
        run_s=run_s,
    )


def _make_greedy() -> ShareScenario:
    return ShareScenario(
        'greedy team',
        {'greedy': (1, NO_CEILING), 'rosters': (1, NO_CEILING), 'timetables': (2, NO_CEILING)},
        (
            TeamDemand('greedy', _spread(360)),
            TeamDemand('rosters', _spread(60)),
            TeamDemand('timetables', _spread(120)),
        ),
    )


def _make_uneven() -> ShareScenario:
    return ShareScenario(
        'uneven entries',
        {'greedy': (1, NO_CEILING), 'rosters': (1, NO_CEILING), 'timetables': (2, NO_CEILING)},
        (
            TeamDemand('greedy', (20, 20, 260)),
            TeamDemand('rosters', (60, 0, 0)),
            TeamDemand('timetables', (0, 120, 0)),
        ),
    )


def _make_urgent(run_s: float) -> ShareScenario:
    return ShareScenario(
        f'urgent, runs of {run_s} s',
        {'greedy': (3, NO_CEILING), 'rosters': (1, NO_CEILING)},
        (
            TeamDemand('greedy', _spread(2 * SLOTS / run_s)),
            TeamDemand('rosters', (0, 0, 2 / run_s), queue='urgent'),
        ),
        run_s=run_s,
        wait_s=10 * run_s,
        duration_s=WARM_UP_S + 10 + 5 * run_s,
    )


def _make_ceiling() -> ShareScenario:
    return ShareScenario(
        'ceiling of 9',
        {'greedy': (1, 9), 'rosters': (1, NO_CEILING)},
        (TeamDemand('greedy', _spread(150)), TeamDemand('rosters', _spread(60))),
    )


def _make_bursts() -> ShareScenario:
    burst = BurstShape(burst_s=2.5, offset_s=4)
    return ShareScenario(
        'bursts',
        {'notices': (1, NO_CEILING), 'rosters': (1, NO_CEILING)},
        (
            TeamDemand('notices', _spread(100), burst=burst),
            TeamDemand('rosters', _spread(60)),
        ),
        duration_s=19,
    )
