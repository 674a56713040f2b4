"""Decides which VMs a maintenance wave stops next."""

import enum
from collections.abc import Callable, Collection
from dataclasses import dataclass

from comfreywind.decisions.pools.budget import compute_budget, get_failure_domain
from comfreywind.decisions.pools.pool_policy import PoolPolicy
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState

StopChooser = Callable[[PoolSnapshot, tuple[PoolVm, ...]], list[PoolVm]]


class WaveState(enum.StrEnum):
    """State of a pool's maintenance wave."""

    OFF = 'off'
    IDLE = 'idle'
    RUNNING = 'running'
    PAUSED = 'paused'


@dataclass(frozen=True, slots=True)
class Wave:
    """The state of a wave and its cause, its current failure domain and the number of VMs due."""

    state: WaveState
    cause: str
    domain: str | None = None
    due: int = 0


def is_due(vm: PoolVm, policy: PoolPolicy, now_s: float) -> bool:
    """Return whether the VM is due for maintenance.

    It is due `maintenance_lead_s` before the end of the period, so that pauses of the wave don't
    make it overdue.
    """
    start_after_s = policy.maintenance_period_s - policy.maintenance_lead_s
    return now_s - vm.last_maintained_s >= start_after_s


def list_due_vms(snapshot: PoolSnapshot, vms: Collection[PoolVm]) -> list[PoolVm]:
    """Return the active, working VMs that are due, the one maintained longest ago first."""
    failing = snapshot.list_failing()
    due = [
        vm
        for vm in vms
        if vm.state == VmState.ACTIVE
        and vm.name not in failing
        and not vm.borrowed
        and is_due(vm, snapshot.policy, snapshot.now_s)
    ]
    return sorted(due, key=lambda vm: (vm.last_maintained_s, vm.name))


def choose_wave_domain(snapshot: PoolSnapshot, vms: Collection[PoolVm]) -> str | None:
    """Return the failure domain of the stops under way, otherwise that of the first VM due."""
    policy = snapshot.policy
    stopping = sorted(get_failure_domain(vm, policy) for vm in vms if vm.stopping)
    if stopping:
        return stopping[0]
    due = list_due_vms(snapshot, vms)
    return get_failure_domain(due[0], policy) if due else None


def choose_stops(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> list[PoolVm]:
    """Return the VMs to stop now: those due in one failure domain, as many as the budget allows.

    The budget is computed anew for each stop, because a stop in the largest failure domain also
    lowers the number of VMs whose loss must be tolerated.
    """
    domain = choose_wave_domain(snapshot, vms)
    failing = snapshot.list_failing()
    chosen: list[PoolVm] = []
    for vm in list_due_vms(snapshot, vms):
        if get_failure_domain(vm, snapshot.policy) != domain:
            continue
        unavailable = failing | {other.name for other in chosen} | {vm.name}
        if compute_budget(vms, unavailable, snapshot.policy).margin < 0:
            break
        chosen.append(vm)
    return chosen


def describe_wave(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> Wave:
    """Return the state of the maintenance wave of the pool."""
    policy = snapshot.policy
    if not policy.maintenance_enabled:
        return Wave(WaveState.OFF, 'maintenance is disabled in the bundle')
    due_count = len(list_due_vms(snapshot, vms))
    domain = choose_wave_domain(snapshot, vms)
    budget = compute_budget(vms, snapshot.list_failing(), policy)
    if budget.margin < 0 and domain is not None:
        return Wave(
            WaveState.PAUSED, 'the pool has less than its budget requires', domain, due_count
        )
    if domain is None:
        return Wave(WaveState.IDLE, 'no VM is due')
    return Wave(WaveState.RUNNING, 'VMs are due', domain, due_count)
