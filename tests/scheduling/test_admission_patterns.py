"""What callers earn under uneven load, with and without marks and refusals, in the lab's emulator.

A pool of 20 VMs that the usual load of all teams fills by 0.7. The bounds are those of the plan:
teams within their share must not earn less because of another, and refusals must not make callers
worse off than waiting does.
"""

from dataclasses import dataclass

import pytest

from comfreywind.lab.outcome import Outcome
from tests.helpers.admission_lab import AdmissionEmulator, Load, draw_arrivals

VMS = 20
LENGTH_S = 40.0
# A job takes 187 core seconds in the mean; a VM has 64 cores.
USUAL_JOBS_PER_S = 0.7 * VMS * 64 / 187
LARGE = 'a'
SEEDS = (1, 2, 3)


@dataclass
class Play:
    """Outcomes of one load and setting over all seeds."""

    outcomes: list[Outcome]
    refused_teams: set[str]
    lost: int

    def compute_earned(self) -> float:
        """Return the part of the worth that was earned."""
        return sum(each.earned for each in self.outcomes) / sum(each.owed for each in self.outcomes)

    def compute_earned_by_others(self) -> float:
        """Return that part over all teams but the one that sends too much."""
        sums = [
            sums
            for outcome in self.outcomes
            for team, sums in outcome.earned_by_queue.items()
            if team != LARGE
        ]
        return sum(earned for _, earned in sums) / sum(owed for owed, _ in sums)


def play(loads: list[Load], marking: bool, refusing: bool, lose_half_at_s: float = 0) -> Play:
    """Play a load with each seed."""
    result = Play([], set(), 0)
    for seed in SEEDS:
        arrivals = draw_arrivals(loads, LENGTH_S, seed)
        emulator = AdmissionEmulator(arrivals, VMS, marking, refusing)
        if lose_half_at_s:
            emulator.lose_half_at(lose_half_at_s)
        result.outcomes.append(emulator.run())
        result.refused_teams.update(emulator.refused_teams)
        result.lost += emulator.lost
    return result


def make_flood(factor: float) -> list[Load]:
    """Return six teams, of which one sends that many times its usual for 15 s."""
    usual = USUAL_JOBS_PER_S / 6
    flood = Load(LARGE, ((0, 5, usual), (5, 20, usual * factor), (20, LENGTH_S, usual)))
    return [flood, *(Load(team, ((0, LENGTH_S, usual),)) for team in 'bcdef')]


@pytest.mark.parametrize('factor', [3.4, 7.0])
def test_one_team_sends_seven_times_its_usual(factor: float) -> None:
    """The others must not pay for it, and all callers together must not earn less."""
    waiting = play(make_flood(factor), marking=False, refusing=False)
    admission = play(make_flood(factor), marking=True, refusing=True)
    assert admission.compute_earned_by_others() > waiting.compute_earned_by_others()
    assert admission.compute_earned() >= waiting.compute_earned()
    assert admission.refused_teams <= {LARGE}


def make_equal(*rates: tuple[float, float, float]) -> list[Load]:
    """Return four teams with the same rates, as parts of what the pool usually gets."""
    each = USUAL_JOBS_PER_S / 4
    return [
        Load(team, tuple((start_s, end_s, each * rate) for start_s, end_s, rate in rates))
        for team in 'abcd'
    ]


@pytest.mark.parametrize(
    ('loads', 'lose_half_at_s'),
    [
        pytest.param(
            make_equal((0, 6, 0.03), (6, 12, 3.2), (12, LENGTH_S, 0.03)),
            0,
            id='all queues in turn at five times their mean',
        ),
        pytest.param(make_equal((0, LENGTH_S, 1)), 8, id='a pool loses half of its targets'),
        pytest.param(
            make_equal((0, 5, 1), (15, 17, 5.5), (17, LENGTH_S, 1)),
            0,
            id='a crowd returns after an outage',
        ),
        pytest.param(make_flood(12), 0, id='one team sends twelve times its usual'),
    ],
)
def test_refusing_is_no_worse_than_waiting(loads: list[Load], lose_half_at_s: float) -> None:
    """Where a job can wait, refusing it only loses its value, and its return takes others' place."""
    waiting = play(loads, marking=True, refusing=False, lose_half_at_s=lose_half_at_s)
    refusing = play(loads, marking=True, refusing=True, lose_half_at_s=lose_half_at_s)
    assert refusing.compute_earned() >= waiting.compute_earned()
    assert not refusing.lost
