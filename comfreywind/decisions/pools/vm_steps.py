"""State transitions of a VM: failure, recovery, planned stop and move."""

from dataclasses import replace

from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.vm_change import VmChange
from comfreywind.decisions.pools.vm_health import VmHealth


def begin_stop(vm: PoolVm, now_s: float, cause: str, **inputs: object) -> VmChange:
    """Return the change that starts to drain an active VM for a planned stop."""
    after = replace(vm, state=VmState.DRAINING, move_to=None, since_s=now_s)
    return VmChange('stop', vm, after, cause, inputs)


def begin_move(vm: PoolVm, pool: str, now_s: float, cause: str, **inputs: object) -> VmChange:
    """Return the change that starts to drain an active VM for a move to another pool."""
    after = replace(vm, state=VmState.DRAINING, move_to=pool, since_s=now_s)
    return VmChange('move', vm, after, cause, inputs)


def cancel_drain(vm: PoolVm, now_s: float, cause: str, **inputs: object) -> VmChange:
    """Return the change that makes a draining VM active again."""
    after = replace(vm, state=VmState.ACTIVE, move_to=None, since_s=now_s)
    return VmChange('stop' if vm.move_to is None else 'move', vm, after, cause, inputs)


def decide_health_change(vm: PoolVm, snapshot: PoolSnapshot) -> VmChange | None:
    """Return the change that the observed health of the VM requires, or None."""
    health = snapshot.health.get(vm.name)
    if health is None:
        return None
    if _is_off_list_too_long(health, snapshot):
        return VmChange('failure', vm, None, 'the VM has been off the list for too long')
    if vm.state == VmState.REBOOTING:
        return _detect_reboot_end(vm, health, snapshot)
    if vm.state == VmState.SUSPECT:
        return _detect_recovery(vm, health, snapshot)
    return _mark_suspect(vm, health, snapshot)


def finish_drain(vm: PoolVm, snapshot: PoolSnapshot) -> VmChange:
    """Return the change that starts the reboot of a drained VM, or that moves it to its new pool.

    The row records the incarnation that the reboot is to replace. The platform refuses a reboot
    call for another incarnation, so that a late call of a paused holder can't stop a VM that works
    again.
    """
    now_s = snapshot.now_s
    cause = 'no work runs on the VM and no member sends it any'
    if vm.move_to is not None:
        moved = replace(
            vm,
            pool=vm.move_to,
            move_to=None,
            state=VmState.ACTIVE,
            since_s=now_s,
            pool_since_s=now_s,
        )
        return VmChange('move', vm, moved, cause)
    health = snapshot.health.get(vm.name)
    incarnation = vm.incarnation if health is None else health.incarnation
    after = replace(vm, state=VmState.REBOOTING, incarnation=incarnation, since_s=now_s)
    return VmChange('stop', vm, after, cause)


def _mark_suspect(vm: PoolVm, health: VmHealth, snapshot: PoolSnapshot) -> VmChange | None:
    if health.works or health.unchanged_s < snapshot.policy.doubt_s:
        return None
    after = replace(vm, state=VmState.SUSPECT, move_to=None, since_s=snapshot.now_s)
    cause = 'the VM is gone, leaving or does not accept connections'
    return VmChange('failure', vm, after, cause, {'for_s': round(health.unchanged_s, 3)})


def _is_off_list_too_long(health: VmHealth, snapshot: PoolSnapshot) -> bool:
    return not health.listed and health.unchanged_s >= snapshot.policy.retire_s


def _detect_reboot_end(vm: PoolVm, health: VmHealth, snapshot: PoolSnapshot) -> VmChange | None:
    """Return the change that makes a rebooted VM active once it has a higher incarnation.

    Until then the VM stays out of use, however long it takes: the reboot call may be delayed and
    still stop it.
    """
    if not health.works or health.incarnation <= vm.incarnation:
        return None
    now_s = snapshot.now_s
    after = replace(
        vm,
        state=VmState.ACTIVE,
        incarnation=health.incarnation,
        since_s=now_s,
        last_maintained_s=now_s,
    )
    duration_s = round(now_s - vm.since_s, 3)
    cause = 'the VM is back with a higher incarnation'
    return VmChange('stop', vm, after, cause, {'duration_s': duration_s})


def _detect_recovery(vm: PoolVm, health: VmHealth, snapshot: PoolSnapshot) -> VmChange | None:
    """Return the change that makes a suspect VM active after it has worked for `suspect_s`.

    The wait keeps a flapping VM out of use.
    """
    if not health.works or health.unchanged_s < snapshot.policy.suspect_s:
        return None
    after = replace(
        vm, state=VmState.ACTIVE, incarnation=health.incarnation, since_s=snapshot.now_s
    )
    return VmChange(
        'failure', vm, after, 'the VM works again', {'for_s': round(health.unchanged_s, 3)}
    )
