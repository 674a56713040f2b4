"""Figures of one run of the experiment on shares."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from bench.experiments.share_scenario import SLOTS, ShareScenario
from bench.load_plan import LoadPlan
from bench.load_result import LoadResult, StreamResult, read_quantiles_ms
from comfreywind.decisions.fair_share import ShareClaim, compute_fair_shares


@dataclass(slots=True)
class ShareFigures:
    """What one scenario gave under one policy.

    `attained` is the part of its entitled share that a team received, `started` the time to the
    start of urgent work, `excess` by how much each team exceeded its ceiling at the targets.
    """

    scenario: str
    policy: str
    valid: bool
    faults: list[str]
    offered_hz: float
    goodput_hz: float
    attained: dict[str, float]
    outcomes: dict[str, int]
    answered: dict[str, float]
    refused: dict[str, float]
    started: dict[str, float] = field(default_factory=dict)
    excess: dict[str, int] = field(default_factory=dict)
    busiest_entry_ratio: float = 0

    @property
    def lowest_attained(self) -> float:
        """Return the attainment of the team that got least of its share."""
        return min(self.attained.values())

    @property
    def mean_attained(self) -> float:
        """Return the mean attainment over the teams."""
        return sum(self.attained.values()) / len(self.attained)


def make_figures(
    scenario: ShareScenario,
    policy: str,
    plan: LoadPlan,
    load: LoadResult,
    highest_running: dict[str, int],
) -> ShareFigures:
    """Return the figures of a run."""
    measured_s = plan.duration_s - plan.warm_up_s
    total = load.sum_streams(range(len(plan.streams)))
    return ShareFigures(
        scenario=scenario.name,
        policy=policy,
        valid=load.valid,
        faults=load.faults,
        offered_hz=round(load.planned / measured_s, 1),
        goodput_hz=round(total.in_time / measured_s, 1),
        attained=_compute_attained(scenario, plan, load),
        outcomes=dict(total.outcomes),
        answered=read_quantiles_ms(total.answered_us),
        refused=read_quantiles_ms(total.refused_us),
        started=_read_urgent_starts(scenario, plan, load),
        excess=_compute_excess(scenario, highest_running),
    )


def _sum_team(plan: LoadPlan, load: LoadResult, team: str) -> StreamResult:
    return load.sum_streams(
        index for index, stream in enumerate(plan.streams) if stream.team == team
    )


def _compute_attained(
    scenario: ShareScenario, plan: LoadPlan, load: LoadResult
) -> dict[str, float]:
    """Return received / entitled; the demand is what was really sent and not the set rate."""
    measured_s = plan.duration_s - plan.warm_up_s
    results = {team: _sum_team(plan, load, team) for team in scenario.teams}
    claims = {
        team: ShareClaim(
            weight,
            min(ceiling, results[team].outcomes.total() * scenario.run_s / measured_s),
        )
        for team, (weight, ceiling) in scenario.teams.items()
    }
    entitled = compute_fair_shares(SLOTS, claims)
    return {
        team: round(results[team].in_time * scenario.run_s / measured_s / entitled[team], 3)
        for team in scenario.teams
        if entitled[team]
    }


def _read_urgent_starts(
    scenario: ShareScenario, plan: LoadPlan, load: LoadResult
) -> dict[str, float]:
    """Return quantiles of the latency of urgent answers without the run time, in milliseconds."""
    urgent = load.sum_streams(
        index for index, stream in enumerate(plan.streams) if stream.queue == 'urgent'
    )
    if not urgent.answered_us.get_total_count():
        return {}
    quantiles = {
        **read_quantiles_ms(urgent.answered_us),
        'max_ms': urgent.answered_us.get_max_value() / 1000,
    }
    starts = {name: round(ms - scenario.run_s * 1000, 1) for name, ms in quantiles.items()}
    refused = Counter(urgent.outcomes)
    answered = refused.pop('answered', 0)
    return {**starts, 'answered': answered, 'not_answered': refused.total()}


def _compute_excess(scenario: ShareScenario, highest_running: dict[str, int]) -> dict[str, int]:
    return {
        team: max(0, highest_running.get(team, 0) - ceiling)
        for team, (_, ceiling) in scenario.teams.items()
    }


def make_row(figures: ShareFigures) -> list[Any]:
    """Return the figures as a row of the printed table."""
    return [
        figures.scenario,
        figures.policy,
        f'{figures.offered_hz:.0f}',
        f'{figures.goodput_hz:.0f}',
        f'{figures.lowest_attained:.3f}',
        f'{figures.mean_attained:.3f}',
        f'{figures.answered.get("p99_ms", 0):.0f}',
        f'{figures.refused.get("p50_ms", 0):.0f}/{figures.refused.get("p99_ms", 0):.0f}',
        f'{figures.started.get("max_ms", 0):.0f}' if figures.started else '-',
        str(sum(figures.excess.values())),
        f'{figures.busiest_entry_ratio:.2f}',
        'yes' if figures.valid else f'no: {"; ".join(figures.faults)}',
    ]
