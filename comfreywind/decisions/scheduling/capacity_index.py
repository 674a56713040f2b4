"""Finds the target for a task among many without a look at all of them."""

import math
from bisect import bisect_left, insort
from collections.abc import Collection, Iterable, Iterator, Mapping
from itertools import islice

from comfreywind.decisions.scheduling.placement import TargetCapacity, compute_effective_request
from comfreywind.jobs.step import Step

Rank = tuple[bool, bool, float, bool, bool]
NO_TARGETS: frozenset[str] = frozenset()
NO_COUNTS: Mapping[str, int] = {}
# Nothing speaks against a target: not avoided, not due, not crowded, disturbs nobody, near the data.
BEST_RANK: Rank = (False, False, 0, False, False)
# After the rank of any target.
WORST_RANK: Rank = (True, True, math.inf, True, True)


class CapacityIndex:
    """Targets that may take tasks, in the order of their free processor time."""

    def __init__(self, rooms: Iterable[TargetCapacity]) -> None:
        """Index the rooms; each target has one."""
        self._rooms = {room.target_id: room for room in rooms}
        self._order = sorted(map(_find_place, self._rooms.values()))

    def __iter__(self) -> Iterator[TargetCapacity]:
        """Return the rooms in no particular order."""
        return iter(self._rooms.values())

    def replace(self, room: TargetCapacity) -> None:
        """Take in what is free on a target now."""
        self.remove(room.target_id)
        self._rooms[room.target_id] = room
        insort(self._order, _find_place(room))

    def remove(self, target_id: str) -> None:
        """Give the target no further tasks."""
        known = self._rooms.pop(target_id, None)
        if known is not None:
            del self._order[bisect_left(self._order, _find_place(known))]

    def choose(
        self,
        step: Step,
        avoided: Collection[str] = NO_TARGETS,
        same_step: Mapping[str, int] = NO_COUNTS,
        allowed: Collection[str] | None = None,
    ) -> TargetCapacity | None:
        """Return the target for one task of the step, or None when none fits.

        A lasting task keeps away from VMs that are due for upkeep, where it would soon end again.
        Tasks of a step that bears few losses are spread, so that one VM can go down with its task.
        Fillers keep away from tasks that serve users, whose tails they would lengthen.
        The rack of the step's data comes first, then the target with the least free processor time:
        tasks are packed, so that large tasks and moves of VMs find whole targets free.

        `avoided` are targets on which the task has failed, `same_step` counts the tasks of the step
        by target, and `allowed` are the targets that may be chosen, all of them when it is None.
        """
        best: TargetCapacity | None = None
        best_rank = WORST_RANK
        for room in self._list_fitting(step, same_step, allowed):
            count = same_step.get(room.target_id, 0)
            rank = _find_rank(step, room.target_id in avoided, count, room)
            if rank < best_rank:
                best, best_rank = room, rank
            if rank == BEST_RANK:
                break
        return best

    def _list_fitting(
        self, step: Step, same_step: Mapping[str, int], allowed: Collection[str] | None
    ) -> Iterator[TargetCapacity]:
        """Return the targets that can run a task of the step, those with the least room first."""
        request = compute_effective_request(step)
        # The places of all targets with enough free processor time sort after this one.
        start = bisect_left(self._order, (request.cpu_millicores, ''))
        for _, target_id in islice(self._order, start, None):
            if allowed is not None and target_id not in allowed:
                continue
            room = self._rooms[target_id]
            if request.fits(room.free) and _may_run(step, same_step.get(target_id, 0), room):
                yield room


def _find_place(room: TargetCapacity) -> tuple[int, str]:
    return (room.free.cpu_millicores, room.target_id)


def _may_run(step: Step, same_step: int, room: TargetCapacity) -> bool:
    if step.required_label and step.required_label not in room.labels:
        return False
    return not (step.target_limit and same_step >= step.target_limit)


def _find_rank(step: Step, avoided: bool, same_step: int, room: TargetCapacity) -> Rank:
    remote = bool(step.preferred_rack) and step.preferred_rack not in room.labels
    crowd = same_step if step.unavailable_limit else 0
    return (
        avoided,
        step.lasting and room.maintenance_due,
        crowd,
        step.filler and room.serving,
        remote,
    )
