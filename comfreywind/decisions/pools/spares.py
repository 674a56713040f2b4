"""Decides which spare VMs a pool requests, lends and returns."""

from collections import Counter
from collections.abc import Mapping
from operator import attrgetter

from comfreywind.decisions.pools.budget import compute_budget
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.vm_change import VmChange
from comfreywind.decisions.pools.vm_steps import begin_move
from comfreywind.decisions.pools.wave import list_due_vms


def _count_missing(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> int:
    """Return how many VMs need a replacement.

    These are the VMs that have failed for `suspect_s` without a break, so that a short failure
    moves no VM, and those that have not returned from their reboot after `reboot_limit_s`.
    """
    return sum(_is_missing(vm, snapshot) for vm in vms)


def _count_maintenance_spares(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> int:
    """Return 1 if a VM is overdue for maintenance and one more VM would allow its stop, else 0.

    While any VM is unavailable, the result is 0, because maintenance waits for its return.
    """
    due = list_due_vms(snapshot, vms)
    failing = snapshot.list_failing()
    if not due or failing or any(vm.state != VmState.ACTIVE for vm in vms):
        return 0
    overdue = snapshot.now_s - due[0].last_maintained_s >= snapshot.policy.maintenance_period_s
    margin = compute_budget(vms, {due[0].name}, snapshot.policy).margin
    return int(overdue and margin == -1 and snapshot.policy.maintenance_enabled)


def compute_wanted_spares(
    snapshot: PoolSnapshot, vms: tuple[PoolVm, ...], requested_counts: dict[str, int]
) -> dict[str, int]:
    """Return how many VMs this pool wants from each spare pool, including those borrowed already.

    Replacements are requested only while the budget is broken, and never more than VMs are missing,
    so that a pool whose budget can't be met even at full size does not borrow every spare VM. One
    VM is also requested when the budget blocks maintenance that is overdue.
    """
    if snapshot.policy.spare:
        return {}
    borrowed = [vm for vm in vms if vm.borrowed and vm.move_to is None]
    wanted = Counter(vm.home_pool for vm in borrowed)
    shortage = -compute_budget(vms, snapshot.list_failing(), snapshot.policy).margin
    replacements = min(shortage, _count_missing(snapshot, vms) - len(borrowed))
    additional = max(replacements, _count_maintenance_spares(snapshot, vms))
    spare_pool = _choose_spare_pool(snapshot, requested_counts, wanted)
    if additional > 0 and spare_pool is not None:
        wanted[spare_pool] += additional
    return dict(sorted(wanted.items()))


def lend_spares(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> list[VmChange]:
    """Return the moves of VMs from this spare pool to the pools that requested them."""
    if not snapshot.policy.spare:
        return []
    failing = snapshot.list_failing()
    free = [vm for vm in vms if vm.state == VmState.ACTIVE and vm.name not in failing]
    changes = []
    for request in sorted(snapshot.requests, key=attrgetter('given', 'pool')):
        lacking = max(0, request.wanted - request.given)
        cause = f'pool {request.pool} lacks VMs after a failure'
        for vm in free[:lacking]:
            changes.append(begin_move(vm, request.pool, snapshot.now_s, cause, lacking=lacking))
        free = free[lacking:]
    return changes


def return_spares(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> list[VmChange]:
    """Return the moves of borrowed VMs back to their home pools, if the budget holds without them.

    No VM is returned while VMs are due for maintenance, because a blocked wave would request it
    again. A borrowed VM stays for at least `spare_hold_s`, so that it does not move back and forth.
    """
    if list_due_vms(snapshot, vms) and snapshot.policy.maintenance_enabled:
        return []
    failing = snapshot.list_failing()
    returning: list[PoolVm] = []
    for vm in vms:
        held_s = snapshot.now_s - vm.pool_since_s
        if not vm.borrowed or vm.state != VmState.ACTIVE or held_s < snapshot.policy.spare_hold_s:
            continue
        unavailable = failing | {other.name for other in returning} | {vm.name}
        if compute_budget(vms, unavailable, snapshot.policy).margin >= 0:
            returning.append(vm)
    cause = 'the budget holds without the borrowed VM'
    return [begin_move(vm, vm.home_pool, snapshot.now_s, cause) for vm in returning]


def _choose_spare_pool(
    snapshot: PoolSnapshot, requested_counts: dict[str, int], wanted: Mapping[str, int]
) -> str | None:
    """Return the spare pool to request VMs from.

    This is one with a request still open, otherwise the one with the most free VMs.
    """
    pending = sorted(
        pool for pool, count in requested_counts.items() if count > wanted.get(pool, 0)
    )
    if pending and snapshot.free_spares.get(pending[0], 0):
        return pending[0]
    free = sorted((-count, pool) for pool, count in snapshot.free_spares.items() if count)
    return free[0][1] if free else None


def _is_missing(vm: PoolVm, snapshot: PoolSnapshot) -> bool:
    if vm.state == VmState.REBOOTING:
        return snapshot.now_s - vm.since_s > snapshot.policy.reboot_limit_s
    health = snapshot.health.get(vm.name)
    if vm.state != VmState.SUSPECT or health is None:
        return False
    return not health.works and health.unchanged_s >= snapshot.policy.suspect_s
