"""Chooses the target for a task among many without a scan of all of them."""

import math
from bisect import bisect_left, insort
from collections.abc import Collection, Iterable, Iterator, Mapping
from itertools import islice
from typing import NamedTuple

from comfreywind.decisions.scheduling.placement import TargetCapacity, compute_effective_request
from comfreywind.jobs.step import Step

NO_TARGETS: frozenset[str] = frozenset()
NO_COUNTS: Mapping[str, int] = {}


class Rank(NamedTuple):
    """What counts against a target, the most important first.

    The task has failed there, its VM is due for maintenance, the number of tasks of the same step
    there beyond what may go down, the harm that the task would do or suffer there, it serves users,
    it is in another rack than the data, it is still slow after its start.
    """

    failed: bool
    maintenance_due: bool
    spread_count: float
    harm: float
    serving: bool
    remote: bool
    cold: bool


# Nothing counts against the target, so that the search can end.
BEST_RANK = Rank(False, False, 0, 0, False, False, False)
# Only harm counts against the target, and no less than one step of it.
LEAST_HARM_RANK = Rank(False, False, 0, 1, False, False, False)
# After the rank of any target.
WORST_RANK = Rank(True, True, math.inf, math.inf, True, True, True)


class CapacityIndex:
    """Targets that may take tasks, in the order of their free processor time."""

    def __init__(self, targets: Iterable[TargetCapacity]) -> None:
        """Index the targets, whose ids are unique."""
        self._targets = {target.target_id: target for target in targets}
        self._order = sorted(map(_get_sort_key, self._targets.values()))

    def __iter__(self) -> Iterator[TargetCapacity]:
        """Return the targets in no particular order."""
        return iter(self._targets.values())

    def replace(self, target: TargetCapacity) -> None:
        """Add a target, or update what is free on it."""
        self.remove(target.target_id)
        self._targets[target.target_id] = target
        insort(self._order, _get_sort_key(target))

    def remove(self, target_id: str) -> None:
        """Remove a target, which gets no further tasks."""
        known = self._targets.pop(target_id, None)
        if known is not None:
            del self._order[bisect_left(self._order, _get_sort_key(known))]

    def choose(
        self,
        step: Step,
        avoided: Collection[str] = NO_TARGETS,
        same_step: Mapping[str, int] = NO_COUNTS,
        allowed: Collection[str] | None = None,
        harm_levels: Mapping[str, int] = NO_COUNTS,
    ) -> TargetCapacity | None:
        """Return the target for one task of the step, or None when none fits.

        Long-running tasks avoid VMs that are due for maintenance, where they would soon end again.
        Tasks of a step that limits its unavailable tasks are spread, so that a VM can go down with
        all those on it. Up to the limit they are packed, so that other VMs stay empty.
        Best-effort tasks avoid targets that serve users, whose tail latency they would raise.
        The rack of the step's data comes first, then the target with the least free processor time:
        tasks are packed, so that large tasks and moves of VMs find whole targets free.

        `avoided` are targets on which the task has failed, `same_step` counts the tasks of the step
        by target, and `allowed` are the targets that may be chosen, all of them when it is None.
        `harm_levels` are the targets with tasks that this one would harm or be harmed by.
        """
        end_rank = BEST_RANK
        if harm_levels:
            # Targets with harm are skipped at little cost, so that starts in a large pool do not
            # rank most of it. Nothing that ranks above harm may count against the chosen one.
            harmless = self._list_fitting(step, same_step, allowed, harm_levels)
            chosen, rank = _choose_best(step, avoided, same_step, NO_COUNTS, harmless, end_rank)
            if rank < LEAST_HARM_RANK:
                return chosen
            end_rank = BEST_RANK._replace(harm=min(harm_levels.values()))
        fitting = self._list_fitting(step, same_step, allowed, NO_TARGETS)
        return _choose_best(step, avoided, same_step, harm_levels, fitting, end_rank)[0]

    def _list_fitting(
        self,
        step: Step,
        same_step: Mapping[str, int],
        allowed: Collection[str] | None,
        excluded: Collection[str],
    ) -> Iterator[TargetCapacity]:
        """Yield the targets that can run a task of the step, least free processor time first."""
        request = compute_effective_request(step)
        # The keys of all targets with enough free processor time sort after this one.
        start = bisect_left(self._order, (request.cpu_millicores, ''))
        for _, target_id in islice(self._order, start, None):
            permitted = allowed is None or target_id in allowed
            if not permitted or target_id in excluded:
                continue
            target = self._targets[target_id]
            count = same_step.get(target_id, 0)
            if request.fits(target.free) and _is_eligible(step, count, target):
                yield target


def _get_sort_key(target: TargetCapacity) -> tuple[int, str]:
    return (target.free.cpu_millicores, target.target_id)


def _is_eligible(step: Step, count: int, target: TargetCapacity) -> bool:
    if step.required_label and step.required_label not in target.labels:
        return False
    return not (step.target_limit and count >= step.target_limit)


def _choose_best(
    step: Step,
    avoided: Collection[str],
    same_step: Mapping[str, int],
    harm_levels: Mapping[str, int],
    targets: Iterable[TargetCapacity],
    end_rank: Rank,
) -> tuple[TargetCapacity | None, Rank]:
    """Return the first of the targets with the best rank, and this rank.

    The search ends at `end_rank`, which no target is known to exceed.
    """
    best: TargetCapacity | None = None
    best_rank = WORST_RANK
    for target in targets:
        count = same_step.get(target.target_id, 0)
        harm = harm_levels.get(target.target_id, 0)
        rank = _compute_rank(step, target.target_id in avoided, count, harm, target)
        if rank < best_rank:
            best, best_rank = target, rank
        if rank <= end_rank:
            break
    return best, best_rank


def _compute_rank(step: Step, avoided: bool, count: int, harm: int, target: TargetCapacity) -> Rank:
    remote = bool(step.preferred_rack) and step.preferred_rack not in target.labels
    # A VM can go down with as many tasks of the step as may be unavailable.
    spread_count = max(0, count + 1 - step.unavailable_limit) if step.unavailable_limit else 0
    return Rank(
        avoided,
        step.long_running and target.maintenance_due,
        spread_count,
        harm,
        step.best_effort and target.serving,
        remote,
        target.cold,
    )
