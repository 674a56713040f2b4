"""Chooses a target for a request."""

import random
from collections.abc import Callable, Sequence

CHOICES = 2
# Samples drawn before the list is searched; a request excludes three targets at most.
SAMPLES_LIMIT = 8


def choose_target(
    names: Sequence[str],
    read_load: Callable[[str], float],
    excluded: frozenset[str],
    generator: random.Random,
) -> str | None:
    """Return the less loaded of two random targets that are not excluded, or None.

    The cost does not depend on the number of targets unless nearly all of them are excluded.
    """
    allowed: Sequence[str] = names
    if excluded:
        allowed = _draw_allowed(names, excluded, generator)
    if not allowed:
        return None
    if len(allowed) == 1:
        return allowed[0]
    return min(generator.sample(allowed, CHOICES), key=read_load)


def _draw_allowed(
    names: Sequence[str], excluded: frozenset[str], generator: random.Random
) -> Sequence[str]:
    if len(names) > SAMPLES_LIMIT:
        drawn = generator.sample(names, SAMPLES_LIMIT)
        allowed = [name for name in drawn if name not in excluded]
        if len(allowed) >= CHOICES:
            return allowed
    return [name for name in names if name not in excluded]
