"""Makes the snapshots that decisions about pools are made from."""

from collections import Counter
from collections.abc import Collection, Mapping

from comfreywind.bundle.rules import PoolRules, Rules
from comfreywind.control.control_view import ControlView
from comfreywind.control.vm_row import parse_vm_row
from comfreywind.decisions.pools.pool_policy import PoolPolicy
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot, SpareRequest
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.vm_health import VmHealth
from comfreywind.platform.table_names import TABLE_BUDGETS, TABLE_VMS
from comfreywind.settings.timings import Timings


def list_pool_vms(view: ControlView) -> list[PoolVm]:
    """Return all VMs that have a row."""
    return [parse_vm_row(seen.row) for seen in view.list_rows(TABLE_VMS)]


def make_policy(pool: PoolRules, timings: Timings) -> PoolPolicy:
    """Return the policy of the pool."""
    return PoolPolicy(
        minimum_available_ratio=pool.minimum_available_ratio,
        tolerate=pool.tolerate,
        spare=pool.spare,
        maintenance_enabled=pool.maintenance_enabled,
        maintenance_period_s=pool.maintenance_period_s,
        maintenance_lead_s=pool.maintenance_lead_s,
        spare_hold_s=pool.spare_hold_s,
        doubt_s=timings.doubt_s,
        suspect_s=timings.suspect_s,
        reboot_limit_s=timings.reboot_limit_s,
        retire_s=timings.retire_s,
    )


def make_snapshot(
    pool: PoolRules,
    rules: Rules,
    view: ControlView,
    health: Mapping[str, VmHealth],
    drained: frozenset[str],
    now_s: float,
    timings: Timings,
) -> PoolSnapshot:
    """Return the snapshot of the pool."""
    vms = list_pool_vms(view)
    return PoolSnapshot(
        name=pool.name,
        now_s=now_s,
        policy=make_policy(pool, timings),
        vms=tuple(vm for vm in vms if vm.pool == pool.name),
        health=health,
        drained=drained,
        free_spares=_count_free_spares(pool, rules, vms),
        requests=_list_requests(pool, vms, view) if pool.spare else (),
    )


def read_asked(view: ControlView, pool: str) -> dict[str, int]:
    """Return how many VMs of which spare pools the pool has asked for."""
    wanted = view.read_fields(TABLE_BUDGETS, pool).get('wanted', {})
    return {name: int(count) for name, count in wanted.items()}


def _count_free_spares(pool: PoolRules, rules: Rules, vms: Collection[PoolVm]) -> Counter[str]:
    spare_pools = {name for name, other in rules.pools.items() if other.spare}
    return Counter(
        vm.pool
        for vm in vms
        if vm.pool in spare_pools and (vm.state == VmState.ACTIVE or vm.move_to == pool.name)
    )


def _list_requests(
    pool: PoolRules, vms: Collection[PoolVm], view: ControlView
) -> tuple[SpareRequest, ...]:
    requests = []
    for seen in view.list_rows(TABLE_BUDGETS):
        asking = seen.row.key
        wanted = read_asked(view, asking).get(pool.name, 0)
        given = sum(_is_given(vm, asking) for vm in vms if vm.home_pool == pool.name)
        if wanted > given and asking != pool.name:
            requests.append(SpareRequest(asking, wanted, given))
    return tuple(requests)


def _is_given(vm: PoolVm, asking: str) -> bool:
    stays = vm.pool == asking and vm.move_to is None
    return stays or vm.move_to == asking
