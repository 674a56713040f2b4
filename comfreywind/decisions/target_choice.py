"""Chooses a target for a request (power of two random choices)."""

import random
from collections.abc import Callable, Sequence

CHOICES = 2
# Names drawn before all are searched. Few targets are excluded or ejected at a time, so that these
# almost always include CHOICES allowed ones.
MAX_DRAWN = 8


def choose_target(
    names: Sequence[str],
    get_load: Callable[[str], int],
    is_allowed: Callable[[str], bool],
    generator: random.Random,
) -> str | None:
    """Return the less loaded of two random allowed targets, or None when none is allowed.

    The cost depends on the number of targets only if few of them are allowed.
    """
    allowed = _draw_allowed(names, is_allowed, generator)
    if len(allowed) > CHOICES:
        allowed = generator.sample(allowed, CHOICES)
    elif len(allowed) == CHOICES and generator.getrandbits(1):
        # `min` takes the first of two equal loads, so the order must be random.
        allowed = list(reversed(allowed))
    return min(allowed, key=get_load, default=None)


def _draw_allowed(
    names: Sequence[str], is_allowed: Callable[[str], bool], generator: random.Random
) -> Sequence[str]:
    if len(names) > MAX_DRAWN:
        drawn = generator.sample(names, MAX_DRAWN)
        allowed = [name for name in drawn if is_allowed(name)]
        if len(allowed) >= CHOICES:
            return allowed[:CHOICES]
    return [name for name in names if is_allowed(name)]
