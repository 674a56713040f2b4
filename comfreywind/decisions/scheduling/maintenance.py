"""Which VMs of a wave are emptied next, and which may go down now."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

# Part of a pool that may be kept free of new work for a wave at the same time; at least one VM.
POOL_SHARE = 0.26
# A VM whose short tasks take longer than this goes down all the same, while the wave has time.
EMPTY_WAIT_S = 3.0
# Near the end of a wave a VM no longer waits for its tasks.
LAST_CALL_S = 6.0


@dataclass(frozen=True, slots=True)
class WaveVm:
    """A VM that is due; `work` is how much would be lost, `blocked` that a step can't bear it.

    `serves` tells that it has tasks of a step that may miss few at a time, and `rounds` how many
    VMs still have to go down one after the other because of such a step.
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
    """Return further VMs that get no new work.

    Those that serve come first, because they go down only a few at a time and so take the longest,
    and among them those of the step with the most rounds; then those with the least work.
    """
    emptying = [vm for vm in vms if vm.emptying]
    by_pool: dict[str, int] = {}
    for vm in emptying:
        by_pool[vm.pool] = by_pool.get(vm.pool, 0) + 1
    chosen: list[WaveVm] = []
    candidates = (vm for vm in vms if vm.up and not vm.emptying)
    for vm in sorted(candidates, key=compute_maintenance_sort_key):
        if len(emptying) + len(chosen) >= limit:
            break
        share = max(1, int(pool_sizes.get(vm.pool, 0) * POOL_SHARE))
        if by_pool.get(vm.pool, 0) < share:
            by_pool[vm.pool] = by_pool.get(vm.pool, 0) + 1
            chosen.append(vm)
    return chosen


def compute_maintenance_sort_key(vm: WaveVm) -> tuple[bool, int, int, str]:
    """Return the sort key of a VM that is due: the longest chain of upkeeps goes first."""
    return (not vm.serves, -vm.rounds, vm.work, vm.name)


def may_go_down(vm: WaveVm, left_s: float) -> bool:
    """Return whether the upkeep of a VM that is being emptied may be ordered now."""
    if not vm.up or not vm.emptying or vm.blocked:
        return False
    return not vm.work or vm.emptying_for_s >= EMPTY_WAIT_S or left_s < LAST_CALL_S


@dataclass(frozen=True, slots=True)
class StepHealth:
    """Tasks of a lasting step: which VMs have some at work, and how many are away."""

    limit: int
    unavailable: int
    at_work_on: dict[str, int]


def count_rounds(due_targets: Collection[str], steps: Iterable[StepHealth]) -> int:
    """Return how many upkeeps have to follow each other because of one of the steps."""
    return max(
        (
            math.ceil(len(step.at_work_on.keys() & due_targets) / step.limit)
            for step in steps
            if step.limit
        ),
        default=0,
    )


def is_blocked(vm_target: str, steps: Iterable[StepHealth]) -> bool:
    """Return whether ending what runs on the target would leave a step with too many away.

    `steps` are those with tasks on the target. A task there that was last seen starting may be at
    work by now, so a step with too many away already bears no end at all. A step without a limit
    bears any loss.
    """
    return any(step.limit and _breaks(step, vm_target) for step in steps)


def _breaks(step: StepHealth, vm_target: str) -> bool:
    return step.unavailable + step.at_work_on.get(vm_target, 0) > step.limit
