"""Decides whether the effect of a neighbour is harm that callers notice."""

import enum
from dataclasses import dataclass

from comfreywind.decisions.scheduling.effect_regression import Effect
from comfreywind.decisions.scheduling.pace import SLOW_DOWN_ABOVE_RATIO

# The lower bound of an effect is so many standard errors below its mean: some hundred pairs are
# judged every few seconds, and hardly any may pass by chance.
ERRORS_BELOW_MEAN = 3.0
# Figures that have to tell the effect apart; fewer don't show how much the figure varies.
MIN_INFORMATION = 6.0
# Figures from other targets than the one with the most; on a single target the VM may be slow.
MIN_ELSEWHERE = 2.0
# Known harm lasts while the estimate still has this part of `MIN_INFORMATION`, and its mean is
# above the threshold, so that a pair does not go back and forth at the border.
KEPT_INFORMATION_RATIO = 0.5


class FigureKind(enum.Enum):
    """What a figure is the ratio of; the value is how much more of it matters to callers.

    TAIL is that of the tail latency to its limit, where pace reacts to a difference of 0.25.
    RUN_TIME is that of the run time of a short task to its estimate. Estimates are off by 0.2.
    """

    TAIL = 0.1
    RUN_TIME = 0.2


@dataclass(frozen=True, slots=True)
class Harm:
    """A neighbour raises a figure so that it matters to callers.

    `least` is the lower bound of the effect, `since_s` when the harm was first found.
    """

    disturbed: str
    partner: str
    kind: FigureKind
    effect: Effect
    least: float
    since_s: float


def compute_least(effect: Effect) -> float:
    """Return the lower bound of an effect."""
    return effect.mean - ERRORS_BELOW_MEAN * effect.error


def is_harmful(kind: FigureKind, effect: Effect, known: bool) -> bool:
    """Return whether an effect is harm; `known` tells that it was found to be so before.

    A tail latency that stays where best-effort tasks needn't be slowed down harms nobody.
    """
    if kind is FigureKind.TAIL and effect.baseline + effect.mean <= SLOW_DOWN_ABOVE_RATIO:
        return False
    if known:
        kept = effect.information >= MIN_INFORMATION * KEPT_INFORMATION_RATIO
        return kept and effect.mean > kind.value
    shown = effect.information >= MIN_INFORMATION and effect.elsewhere >= MIN_ELSEWHERE
    return shown and compute_least(effect) > kind.value
