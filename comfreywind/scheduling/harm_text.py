"""Texts that tell operators why tasks are kept apart."""

from comfreywind.decisions.scheduling.effect_regression import LOAD
from comfreywind.decisions.scheduling.harm import FigureKind, Harm

FIGURE_TEXTS = {
    FigureKind.TAIL: 'the tail latency, in parts of its limit',
    FigureKind.RUN_TIME: 'the run time, in parts of its estimate',
}


def describe_harm(harm: Harm) -> str:
    """Return which image slows which one down, by how much, and how well that is known."""
    effect = harm.effect
    partner = 'the load of other tasks' if harm.partner == LOAD else f'image {harm.partner}'
    return (
        f'{partner} slows image {harm.disturbed}: {FIGURE_TEXTS[harm.kind]}, is '
        f'{effect.baseline:.2f} without it and {effect.mean:.2f} higher with it, at least '
        f'{harm.least:.2f} (by {effect.information:.0f} figures, {effect.elsewhere:.0f} from other '
        'targets than the one with the most)'
    )
