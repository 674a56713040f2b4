"""Decides which VMs of a maintenance wave are emptied next, and which may go down now."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

# Ratio of a pool's VMs that may be emptied for a wave at the same time, but at least one VM.
MAX_EMPTYING_RATIO = 0.26
# A VM goes down with its short tasks when they haven't ended after this time of emptying.
EMPTYING_LIMIT_S = 3.0
# A VM no longer waits for its short tasks when less than this is left of the wave.
WAVE_END_MARGIN_S = 6.0


@dataclass(frozen=True, slots=True)
class WaveVm:
    """A VM that is due for maintenance.

    While it is emptied it gets no new work. `work` counts the short tasks that would be lost if it
    went down now. `blocked` tells that it must not go down now, for example because a step would
    have too many unavailable tasks. `serves` tells that it runs tasks of a step that limits these,
    and `rounds` how many VMs have to go down one after the other because of such a step.
    """

    name: str
    pool: str
    up: bool
    emptying: bool
    emptying_for_s: float
    work: int
    blocked: bool
    serves: bool = False
    rounds: int = 0


def choose_emptying(
    vms: Collection[WaveVm], pool_sizes: dict[str, int], limit: int
) -> list[WaveVm]:
    """Return the VMs to empty next, up to `limit` VMs being emptied in all.

    Those that serve come first, because only a few of them may go down at a time, which takes the
    longest; among them those with the most rounds come first, then those with the least work.
    """
    emptying = [vm for vm in vms if vm.emptying]
    emptying_by_pool: dict[str, int] = {}
    for vm in emptying:
        emptying_by_pool[vm.pool] = emptying_by_pool.get(vm.pool, 0) + 1
    chosen: list[WaveVm] = []
    candidates = (vm for vm in vms if vm.up and not vm.emptying)
    for vm in sorted(candidates, key=compute_maintenance_sort_key):
        if len(emptying) + len(chosen) >= limit:
            break
        pool_limit = max(1, int(pool_sizes.get(vm.pool, 0) * MAX_EMPTYING_RATIO))
        if emptying_by_pool.get(vm.pool, 0) < pool_limit:
            emptying_by_pool[vm.pool] = emptying_by_pool.get(vm.pool, 0) + 1
            chosen.append(vm)
    return chosen


def compute_maintenance_sort_key(vm: WaveVm) -> tuple[bool, int, int, str]:
    """Return the sort key of a VM that is due: the VM with the most rounds goes first."""
    return (not vm.serves, -vm.rounds, vm.work, vm.name)


def may_go_down(vm: WaveVm, left_s: float) -> bool:
    """Return whether the maintenance of a VM that is being emptied may be ordered now."""
    if not vm.up or not vm.emptying or vm.blocked:
        return False
    return not vm.work or vm.emptying_for_s >= EMPTYING_LIMIT_S or left_s < WAVE_END_MARGIN_S


@dataclass(frozen=True, slots=True)
class StepHealth:
    """Availability of the tasks of a long-running step.

    `limit` is how many of them may be unavailable, or 0 without a limit, and `unavailable` how many
    are. `at_work_on` counts the tasks at work on each target.
    """

    limit: int
    unavailable: int
    at_work_on: dict[str, int]


def count_rounds(due_targets: Collection[str], steps: Iterable[StepHealth]) -> int:
    """Return how many rounds of maintenance one of the steps needs at least for the targets."""
    return max(
        (
            math.ceil(len(step.at_work_on.keys() & due_targets) / step.limit)
            for step in steps
            if step.limit
        ),
        default=0,
    )


def is_blocked(vm_target: str, steps: Iterable[StepHealth]) -> bool:
    """Return whether a step would have too many unavailable tasks if the target went down.

    `steps` are those with tasks on the target. A task there that was last reported as starting may
    be at work by now. So a step that exceeds its limit already blocks the target, even without a
    known task at work there. A step without a limit never blocks.
    """
    return any(step.limit and _exceeds_limit(step, vm_target) for step in steps)


def _exceeds_limit(step: StepHealth, vm_target: str) -> bool:
    return step.unavailable + step.at_work_on.get(vm_target, 0) > step.limit
