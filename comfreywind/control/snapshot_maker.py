"""Makes the snapshots on which decisions about pools are based."""

from collections import Counter
from collections.abc import Mapping

from comfreywind.bundle.rules import PoolRules, Rules
from comfreywind.control.control_view import ControlView
from comfreywind.decisions.pools.pool_policy import PoolPolicy
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot, SpareRequest
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.vm_health import VmHealth
from comfreywind.platform.table_names import TABLE_BUDGETS
from comfreywind.settings.timings import Timings


def make_policy(pool: PoolRules, timings: Timings) -> PoolPolicy:
    """Return the policy of the pool, from its rules and the timings in the settings."""
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
    """Return the snapshot of the pool at Unix time `now_s`."""
    return PoolSnapshot(
        name=pool.name,
        now_s=now_s,
        policy=make_policy(pool, timings),
        vms=view.list_pool(pool.name),
        health=health,
        drained=drained,
        free_spares=_count_free_spares(pool, rules, view),
        requests=_list_requests(pool, view) if pool.spare else (),
    )


def read_requested_counts(view: ControlView, pool: str) -> dict[str, int]:
    """Return how many VMs the pool has requested from each spare pool."""
    wanted = view.read_fields(TABLE_BUDGETS, pool).get('wanted', {})
    return {name: int(count) for name, count in wanted.items()}


def _count_free_spares(pool: PoolRules, rules: Rules, view: ControlView) -> Counter[str]:
    return Counter(
        vm.pool
        for name, other in rules.pools.items()
        if other.spare
        for vm in view.list_pool(name)
        if vm.state == VmState.ACTIVE or vm.move_to == pool.name
    )


def _list_requests(pool: PoolRules, view: ControlView) -> tuple[SpareRequest, ...]:
    requested_by_pool = {
        received.row.key: read_requested_counts(view, received.row.key).get(pool.name, 0)
        for received in view.list_rows(TABLE_BUDGETS)
    }
    wanted = {
        name: count for name, count in requested_by_pool.items() if count and name != pool.name
    }
    if not wanted:
        return ()
    vms = [*view.list_pool(pool.name), *view.list_lent(pool.name)]
    return tuple(
        SpareRequest(name, count, sum(_is_assigned(vm, name) for vm in vms))
        for name, count in wanted.items()
    )


def _is_assigned(vm: PoolVm, requesting_pool: str) -> bool:
    stays = vm.pool == requesting_pool and vm.move_to is None
    return stays or vm.move_to == requesting_pool
