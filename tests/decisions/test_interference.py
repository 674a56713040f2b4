"""What is learnt of images that slow each other down, on a synthetic fleet without a network."""

import random
from collections.abc import Mapping

import pytest

from comfreywind.decisions.scheduling.effect_regression import (
    FORGET_S,
    LOAD,
    PARTNER_LIMIT,
    Effect,
    EffectRegression,
)
from comfreywind.decisions.scheduling.harm import FigureKind, is_harmful
from comfreywind.decisions.scheduling.interference import IMAGE_LIMIT, Interference
from comfreywind.decisions.scheduling.symmetric_inverse import invert

NEIGHBOURS = tuple(f'n{number}' for number in range(6))
TARGETS = 8
BASELINE = 0.6


class SyntheticFleet:
    """Targets that each run a task of `web` and, by chance, tasks of the neighbours.

    `effects` is by how much each neighbour raises the tail, in parts of its limit. The load of a
    target holds for some seconds, so that successive figures are alike.
    """

    def __init__(self, seed: int, effects: Mapping[str, float]) -> None:
        self.effects = effects
        self.interference = Interference()
        self.now_s = 100.0
        self.chance = random.Random(seed)
        self.noise = [0.0] * TARGETS
        self.always_together: tuple[str, ...] = ()
        self.targets_with: Mapping[str, set[int]] = {}

    def run(self, duration_s: int) -> set[tuple[str, str]]:
        """Report one figure a second of each target; return all pairs ever found harmful."""
        found: set[tuple[str, str]] = set()
        for _ in range(duration_s):
            self.now_s += 1
            for target in range(TARGETS):
                self._report(target)
            found |= {(h.disturbed, h.partner) for h in self.interference.review(self.now_s)[0]}
        return found

    def _report(self, target: int) -> None:
        self.noise[target] = 0.7 * self.noise[target] + self.chance.gauss(0, 0.15)
        present = {name: float(self.chance.random() < 0.4) for name in NEIGHBOURS}
        for name, targets in self.targets_with.items():
            present[name] *= target in targets
        for name in self.always_together:
            present[name] = present[self.always_together[0]]
        presences = {**present, LOAD: self.chance.random()}
        effect = sum(share * self.effects.get(name, 0) for name, share in presences.items())
        tail = max(0.1, BASELINE + effect + self.noise[target])
        self.interference.add('web', FigureKind.TAIL, tail, presences, f't{target}', self.now_s)


@pytest.mark.parametrize('seed', range(4))
def test_disturbing_pair_found(seed: int) -> None:
    """The neighbour that disturbs is found within 15 s, and no other that was beside it."""
    fleet = SyntheticFleet(seed, {'n1': 0.6})
    assert fleet.run(15) == {('web', 'n1')}
    assert fleet.interference.list_harms('n1').keys() == {'web'}
    assert fleet.run(60) == set()


@pytest.mark.parametrize('seed', range(8))
def test_no_pair_by_noise(seed: int) -> None:
    """No pair is found in ten minutes of a fleet without any, although figures are correlated."""
    assert not SyntheticFleet(seed, {}).run(600)


def test_harm_of_load() -> None:
    """A high load of the other tasks is not blamed on the images that happen to be there."""
    fleet = SyntheticFleet(1, {LOAD: 0.9})
    assert fleet.run(60) == {('web', LOAD)}
    assert fleet.interference.list_harms('web').keys() == {LOAD}


def test_disturbance_ends() -> None:
    """Harm that has ended is forgotten within a minute of figures without it."""
    fleet = SyntheticFleet(2, {'n1': 0.6})
    fleet.run(30)
    assert fleet.interference.harms
    fleet.effects = {}
    fleet.run(60)
    assert not fleet.interference.harms


def test_fades_without_figures() -> None:
    """A pair that is kept apart is not kept apart for ever: without figures the harm fades."""
    fleet = SyntheticFleet(3, {'n1': 0.6})
    fleet.run(30)
    assert fleet.interference.harms
    fleet.interference.review(fleet.now_s + FORGET_S + 1)
    assert not fleet.interference.harms
    assert not fleet.interference.count_pairs()


def test_together_not_judged() -> None:
    """Of two neighbours that are always together, neither is blamed for the other."""
    fleet = SyntheticFleet(4, {'n1': 1.0})
    fleet.always_together = ('n1', 'n2')
    assert not fleet.run(60)


def test_slow_target_not_blamed() -> None:
    """A neighbour seen on one target, and once on another, is not blamed: the VM may be slow."""
    fleet = SyntheticFleet(5, {'n1': 1.0})
    fleet.targets_with = {'n1': {3, 4}}
    fleet.run(1)
    fleet.targets_with = {'n1': {3}}
    assert not fleet.run(450)


@pytest.mark.parametrize(
    ('information', 'baseline', 'known', 'expected'),
    [
        (6, 0.6, False, True),
        (5.9, 0.6, False, False),
        (3, 0.6, True, True),
        (2.9, 0.6, True, False),
        (6, 0.3, False, False),
    ],
)
def test_harm(information: float, baseline: float, known: bool, expected: bool) -> None:
    """Too few figures are no evidence; a tail that stays low harms nobody, however it rises."""
    effect = Effect(0.4, 0.05, baseline, information, 2)
    assert is_harmful(FigureKind.TAIL, effect, known) is expected


def test_bounded() -> None:
    """Ever new images take no ever growing memory; the stalest are dropped."""
    interference = Interference()
    for number in range(200):
        presences = {f'n{number + offset}': 1.0 for offset in range(4)}
        for _ in range(4):
            interference.add(f'i{number}', FigureKind.TAIL, 1, presences, 't0', number)
        interference.add('web', FigureKind.TAIL, 1, presences, 't0', number)
    assert interference.count_pairs() <= (IMAGE_LIMIT - 1) * 4 + PARTNER_LIMIT


def test_estimates_after_a_day() -> None:
    """Growing weights don't overflow, and a dropped neighbour leaves no trace in its place."""
    regression = EffectRegression(0)
    for number in range(4_000):
        now_s = number * 20.0
        presence = {f'n{number // 200}': float(number % 2)}
        for _ in range(10):
            regression.add(1 + number % 2, presence, 't0', now_s)
    assert len(regression) == PARTNER_LIMIT
    effect = regression.estimate(now_s)['n19']
    assert effect.mean == pytest.approx(1, abs=0.05)
    assert regression.estimate(now_s + 1e7) == {}


def test_inverse() -> None:
    """The inverse is right, and a matrix without one is told."""
    assert invert([[4.0, 2.0], [2.0, 3.0]]) == [
        pytest.approx([0.375, -0.25]),
        pytest.approx([-0.25, 0.5]),
    ]
    assert invert([[1.0, 1.0], [1.0, 1.0]]) is None
