"""What callers earn under uneven load, with and without marks and refusals, in the lab's emulator.

A pool of 20 VMs that the usual load of all teams fills by 0.7. The bounds are those of the plan:
teams within their share must not earn less because of another, and refusals must not make callers
worse off than waiting does.
"""

import pytest

from comfreywind.lab.admission_emulator import AdmissionEmulator
from comfreywind.lab.team_load import TeamLoad, draw_team_arrivals

POOL = 'north'
VMS = 20
LENGTH_S = 40.0
# A job takes 187 core seconds in the mean; a VM has 64 cores.
USUAL_JOBS_PER_S = 0.7 * VMS * 64 / 187
LARGE = 'a'
SEEDS = (1, 2, 3)


class Play:
    """A load that was played with each seed."""

    def __init__(
        self, loads: list[TeamLoad], marking: bool, refusing: bool, lose_half_at_s: float = 0
    ) -> None:
        """Play the load; half of the targets may crash at some time."""
        self.sums: list[tuple[str, list[float]]] = []
        self.refused_teams: set[str] = set()
        self.lost = 0
        for seed in SEEDS:
            arrivals = draw_team_arrivals(loads, POOL, LENGTH_S, seed)
            emulator = AdmissionEmulator(arrivals, POOL, VMS, marking, refusing)
            if lose_half_at_s:
                emulator.lose_half_at(lose_half_at_s)
            self.sums.extend(emulator.run().earned_by_queue.items())
            self.refused_teams.update(emulator.refused_teams)
            self.lost += emulator.lost

    def compute_earned(self, without: str = '') -> float:
        """Return the part of the worth that was earned, without that of one team."""
        sums = [sums for team, sums in self.sums if team != without]
        return sum(earned for _, earned in sums) / sum(owed for owed, _ in sums)


def make_flood(factor: float) -> list[TeamLoad]:
    """Return six teams, of which one sends that many times its usual for 15 s."""
    usual = USUAL_JOBS_PER_S / 6
    flood = TeamLoad(LARGE, ((0, 5, usual), (5, 20, usual * factor), (20, LENGTH_S, usual)))
    return [flood, *(TeamLoad(team, ((0, LENGTH_S, usual),)) for team in 'bcdef')]


@pytest.mark.parametrize('factor', [3.4, 7.0])
def test_one_team_sends_seven_times_its_usual(factor: float) -> None:
    """The others must not pay for it, and all callers together must not earn less."""
    waiting = Play(make_flood(factor), marking=False, refusing=False)
    admission = Play(make_flood(factor), marking=True, refusing=True)
    assert admission.compute_earned(without=LARGE) > waiting.compute_earned(without=LARGE)
    assert admission.compute_earned() >= waiting.compute_earned()
    assert admission.refused_teams <= {LARGE}


def make_equal(*rates: tuple[float, float, float]) -> list[TeamLoad]:
    """Return four teams with the same rates, as parts of what the pool usually gets."""
    each = USUAL_JOBS_PER_S / 4
    return [
        TeamLoad(team, tuple((start_s, end_s, each * rate) for start_s, end_s, rate in rates))
        for team in 'abcd'
    ]


CROWD = ((0, 5, 1), (5, 15, 0), (15, 17, 5.5), (17, LENGTH_S, 1))
PATTERNS = {
    'all queues in turn at five times their mean': (
        make_equal((0, 6, 0.03), (6, 12, 3.2), (12, LENGTH_S, 0.03)),
        0,
    ),
    'a pool loses half of its targets': (make_equal((0, LENGTH_S, 1)), 8),
    'a crowd returns after an outage': (make_equal(*CROWD), 0),
    'one team sends twelve times its usual': (make_flood(12), 0),
}


@pytest.mark.parametrize(('loads', 'lose_half_at_s'), PATTERNS.values(), ids=PATTERNS)
def test_refusing_is_no_worse_than_waiting(loads: list[TeamLoad], lose_half_at_s: float) -> None:
    """Where a job can wait, refusing it only loses its value, and its return takes others' place."""
    waiting = Play(loads, marking=True, refusing=False, lose_half_at_s=lose_half_at_s)
    refusing = Play(loads, marking=True, refusing=True, lose_half_at_s=lose_half_at_s)
    assert refusing.compute_earned() >= waiting.compute_earned()
    assert not refusing.lost
