"""Decides all changes to the VMs of a pool at one moment."""

from collections.abc import Iterable
from dataclasses import dataclass

from comfreywind.decisions.pools.budget import Budget, compute_budget
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.spares import compute_wanted_spares, lend_spares, return_spares
from comfreywind.decisions.pools.vm_change import VmChange
from comfreywind.decisions.pools.vm_steps import (
    begin_stop,
    cancel_drain,
    decide_health_change,
    finish_drain,
)
from comfreywind.decisions.pools.wave import (
    StopChooser,
    Wave,
    WaveState,
    choose_stops,
    describe_wave,
)


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """The decided changes of VM rows, and the state of the pool after them.

    `wanted` is the number of VMs that the pool wants from each spare pool, by name.
    """

    changes: tuple[VmChange, ...]
    vms: tuple[PoolVm, ...]
    wanted: dict[str, int]
    budget: Budget
    wave: Wave


class _Draft:
    """The VMs while the steps of a plan are decided; each VM is changed at most once."""

    def __init__(self, vms: Iterable[PoolVm]) -> None:
        self._vms: dict[str, PoolVm | None] = {vm.name: vm for vm in vms}
        self.changes: dict[str, VmChange] = {}

    @property
    def vms(self) -> tuple[PoolVm, ...]:
        return tuple(vm for vm in self._vms.values() if vm is not None)

    def apply(self, changes: Iterable[VmChange]) -> None:
        for change in changes:
            name = change.before.name
            if name not in self.changes:
                self.changes[name] = change
                self._vms[name] = change.after


def plan_pool(
    snapshot: PoolSnapshot, requested_counts: dict[str, int], choose: StopChooser = choose_stops
) -> PoolPlan:
    """Return the changes to make in the pool now.

    `requested_counts` is the number of VMs already requested from each spare pool. The order of the
    steps matters: observed failures first, then the repair of a broken budget (planned stops and
    moves that are still draining are cancelled), and only then reboots, new stops and moves.
    """
    draft = _Draft(snapshot.vms)
    steps = [decide_health_change(vm, snapshot) for vm in snapshot.vms]
    draft.apply(step for step in steps if step is not None)
    draft.apply(_cancel_drains(snapshot, draft.vms))
    draft.apply(_finish_drains(snapshot, draft.vms))
    own = _list_own(snapshot, draft)
    draft.apply(return_spares(snapshot, own))
    draft.apply(lend_spares(snapshot, own))
    wave = describe_wave(snapshot, _list_own(snapshot, draft))
    if wave.state == WaveState.RUNNING:
        draft.apply(_begin_stops(snapshot, _list_own(snapshot, draft), choose))
    vms = _list_own(snapshot, draft)
    return PoolPlan(
        changes=tuple(draft.changes.values()),
        vms=vms,
        wanted=compute_wanted_spares(snapshot, vms, requested_counts),
        budget=compute_budget(vms, snapshot.list_failing(), snapshot.policy),
        wave=wave,
    )


def _list_own(snapshot: PoolSnapshot, draft: _Draft) -> tuple[PoolVm, ...]:
    return tuple(vm for vm in draft.vms if vm.pool == snapshot.name)


def _cancel_drains(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> list[VmChange]:
    """Return changes that cancel the latest drains while the budget is broken."""
    margin = compute_budget(vms, snapshot.list_failing(), snapshot.policy).margin
    if snapshot.policy.spare or margin >= 0:
        return []
    draining = sorted(
        (vm for vm in vms if vm.state == VmState.DRAINING), key=lambda vm: (-vm.since_s, vm.name)
    )
    cause = 'a failure left less than the budget requires'
    return [cancel_drain(vm, snapshot.now_s, cause, margin=margin) for vm in draining[:-margin]]


def _finish_drains(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> list[VmChange]:
    return [
        finish_drain(vm, snapshot)
        for vm in vms
        if vm.state == VmState.DRAINING and vm.name in snapshot.drained
    ]


def _begin_stops(
    snapshot: PoolSnapshot, vms: tuple[PoolVm, ...], choose: StopChooser
) -> list[VmChange]:
    budget = compute_budget(vms, snapshot.list_failing(), snapshot.policy)
    inputs: dict[str, object] = {
        'available': budget.available,
        'required': budget.required,
        'tolerated': budget.tolerated,
        'stopping': budget.stopping,
    }
    return [
        begin_stop(vm, snapshot.now_s, 'maintenance is due', **inputs)
        for vm in choose(snapshot, vms)
    ]
