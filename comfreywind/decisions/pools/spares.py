"""Which spare VMs are asked for, given and returned."""

from collections import Counter
from collections.abc import Mapping
from operator import attrgetter

from comfreywind.decisions.pools.budget import compute_budget
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.vm_change import VmChange
from comfreywind.decisions.pools.vm_steps import begin_move
from comfreywind.decisions.pools.wave import list_due


def count_missing(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> int:
    """Return how many VMs need a replacement.

    These are the VMs that have failed for `suspect_s` without a break, so that a blink moves
    nothing, and the VMs that have not returned from their reboot in `reboot_limit_s`.
    """
    return sum(_is_missing(vm, snapshot) for vm in vms)


def count_blocked(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> int:
    """Return 1 when a VM is overdue for maintenance and one more VM would allow its stop.

    While any VM is not available, maintenance waits for its return instead.
    """
    due = list_due(snapshot, vms)
    failing = snapshot.find_failing()
    if not due or failing or any(vm.state != VmState.ACTIVE for vm in vms):
        return 0
    overdue = snapshot.now_s - due[0].last_maintained_s >= snapshot.policy.maintenance_period_s
    margin = compute_budget(vms, {due[0].name}, snapshot.policy).margin
    return int(overdue and margin == -1 and snapshot.policy.maintenance_enabled)


def choose_wanted(
    snapshot: PoolSnapshot, vms: tuple[PoolVm, ...], asked: dict[str, int]
) -> dict[str, int]:
    """Return how many VMs this pool wants of each spare pool, borrowed ones included.

    More are asked for only while the budget lacks VMs, and never more than are missing, so that
    a pool whose budget can't be met at its full size does not take every spare VM.
    """
    if snapshot.policy.spare:
        return {}
    kept = [vm for vm in vms if vm.borrowed and vm.move_to is None]
    wanted = Counter(vm.home_pool for vm in kept)
    lack = -compute_budget(vms, snapshot.find_failing(), snapshot.policy).margin
    replacements = min(lack, count_missing(snapshot, vms) - len(kept))
    more = max(replacements, count_blocked(snapshot, vms))
    source = _find_source(snapshot, asked, wanted)
    if more > 0 and source is not None:
        wanted[source] += more
    return dict(sorted(wanted.items()))


def give_spares(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> list[VmChange]:
    """Return the moves out of this spare pool that other pools have asked for."""
    if not snapshot.policy.spare:
        return []
    failing = snapshot.find_failing()
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
    """Return the moves of borrowed VMs back home, when the budget holds without them.

    None is returned while VMs are due, because a blocked wave would ask for it again. A borrowed VM stays for at least `spare_hold_s`, so that it does not move to and fro.
    """
    if list_due(snapshot, vms) and snapshot.policy.maintenance_enabled:
        return []
    failing = snapshot.find_failing()
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


def _find_source(
    snapshot: PoolSnapshot, asked: dict[str, int], wanted: Mapping[str, int]
) -> str | None:
    """Return the spare pool to ask: one already asked, else the one with the most free VMs."""
    pending = sorted(pool for pool, count in asked.items() if count > wanted.get(pool, 0))
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
    return not health.works and health.for_s >= snapshot.policy.suspect_s
