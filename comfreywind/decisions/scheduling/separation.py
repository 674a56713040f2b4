"""Decides which long-running task is moved away from one that it harms, or that harms it."""

from collections.abc import Iterable
from dataclasses import dataclass

from comfreywind.jobs.task_key import TaskKey

# Harm that has lasted for this long is not a short burst; moving a task costs it some seconds of
# work, and the estimate forgets half of its figures in 20 s.
LASTING_S = 10.0
# One task is moved at a time. This is how long one may take until it is at work again; its figures
# on the new target are worth something only then.
MOVE_INTERVAL_S = 8.0
# A task that was moved so often stays where it is, whatever its neighbours.
MOVE_LIMIT = 2


@dataclass(frozen=True, slots=True)
class Movable:
    """A long-running task on a target with another that it harms or that harms it.

    `harm` is the sum of what would be avoided. `may_stop` tells that its step may miss one more
    task, `has_place` that there is a target without harm for it, `best_effort` that no caller waits
    for it, and `move_count` how often it was moved because of harm.
    """

    key: TaskKey
    harm: float
    lasted_s: float
    may_stop: bool
    has_place: bool
    best_effort: bool
    move_count: int


def choose_move(candidates: Iterable[Movable], since_last_move_s: float) -> Movable | None:
    """Return the task to move next, or None.

    A best-effort task goes first, then the one whose move avoids the most harm.
    """
    if since_last_move_s < MOVE_INTERVAL_S:
        return None
    movable = (
        each
        for each in candidates
        if each.may_stop
        and each.has_place
        and each.lasted_s >= LASTING_S
        and each.move_count < MOVE_LIMIT
    )
    return min(movable, key=lambda each: (not each.best_effort, -each.harm, each.key), default=None)
