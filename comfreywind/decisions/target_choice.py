"""Chooses a target for a request."""

import random
from collections.abc import Callable, Sequence

CHOICES = 2
# Samples drawn before the whole list is searched; few targets are excluded or ejected at a time.
SAMPLES_LIMIT = 8


def choose_target(
    names: Sequence[str],
    read_load: Callable[[str], int],
    is_allowed: Callable[[str], bool],
    generator: random.Random,
) -> str | None:
    """Return the less loaded of two random allowed targets, or None when none is allowed.

    The cost does not depend on the number of targets unless few of them are allowed.
    """
    allowed = _draw_allowed(names, is_allowed, generator)
    if len(allowed) > CHOICES:
        allowed = generator.sample(allowed, CHOICES)
    elif len(allowed) == CHOICES and generator.getrandbits(1):
        # Equal loads are decided at random and not by the order of the names.
        allowed = list(reversed(allowed))
    return min(allowed, key=read_load, default=None)


def _draw_allowed(
    names: Sequence[str], is_allowed: Callable[[str], bool], generator: random.Random
) -> Sequence[str]:
    if len(names) > SAMPLES_LIMIT:
        drawn = generator.sample(names, SAMPLES_LIMIT)
        allowed = [name for name in drawn if is_allowed(name)]
        if len(allowed) >= CHOICES:
            return allowed[:CHOICES]
    return [name for name in names if is_allowed(name)]
