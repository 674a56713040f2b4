"""Tests of the decisions about a pool: budget, wave, failures and spare VMs."""

from dataclasses import replace

import pytest

from comfreywind.decisions.pools.budget import compute_budget
from comfreywind.decisions.pools.pool_plan import PoolPlan, plan_pool
from comfreywind.decisions.pools.pool_policy import PoolPolicy
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot, SpareRequest
from comfreywind.decisions.pools.pool_vm import VmState
from comfreywind.decisions.pools.vm_health import VmHealth
from tests.helpers.pools import NOW_S, POLICY, SPARE_POLICY, make_health, make_snapshot, make_vms

RACK = replace(POLICY, tolerate='rack')
GONE = VmHealth(works=False, unchanged_s=20, listed=False, incarnation=0)
BUDGET_CASES = (
    # Policy, VMs, VMs per rack, failing VMs, required VMs, margin.
    (POLICY, 8, 4, 0, 4, 4),
    (POLICY, 7, 4, 0, 4, 3),
    (POLICY, 8, 4, 5, 4, -1),
    (replace(POLICY, minimum_available_ratio=0.7), 10, 4, 0, 7, 3),
    (RACK, 12, 4, 0, 6, 2),
    (RACK, 12, 4, 4, 6, -2),
    (replace(POLICY, tolerate='data-centre'), 12, 4, 0, 6, -6),
    (replace(SPARE_POLICY, minimum_available_ratio=1), 1, 1, 0, 0, 1),
)
WAVE_CASES = (
    # Policy, VMs, VMs per rack, number of VMs that a wave stops first.
    (POLICY, 8, 4, 4),
    (POLICY, 8, 2, 2),
    (replace(POLICY, minimum_available_ratio=0.75), 8, 4, 2),
    # The loss of the rack being stopped need not be tolerated in addition, so a whole rack is
    # stopped at once.
    (RACK, 12, 4, 2),
    (RACK, 16, 4, 4),
    (replace(RACK, minimum_available_ratio=0.9), 12, 4, 0),
    (replace(POLICY, maintenance_enabled=False), 8, 4, 0),
    (replace(POLICY, maintenance_period_s=5000), 8, 4, 0),
)


def list_changed(plan: PoolPlan, state: VmState) -> list[str]:
    """Return the names of the VMs that the plan changes to the state."""
    return [
        change.before.name
        for change in plan.changes
        if change.after is not None and change.after.state == state
    ]


@pytest.mark.parametrize(
    ('policy', 'count', 'per_rack', 'failing', 'required', 'margin'), BUDGET_CASES
)
def test_budget(
    policy: PoolPolicy, count: int, per_rack: int, failing: int, required: int, margin: int
) -> None:
    """The budget must count failures and failure domains, and not be off by a rounding error."""
    vms = make_vms('crossings', count, per_rack)
    budget = compute_budget(vms, {vm.name for vm in vms[:failing]}, policy)
    assert (budget.required, budget.margin) == (required, margin)


@pytest.mark.parametrize(('policy', 'count', 'per_rack', 'stops'), WAVE_CASES)
def test_wave_fills_budget(policy: PoolPolicy, count: int, per_rack: int, stops: int) -> None:
    """A wave must stop as many VMs as the budget allows, and only in one failure domain."""
    vms = make_vms('crossings', count, per_rack)
    plan = plan_pool(make_snapshot(vms, policy=policy), {})
    draining = list_changed(plan, VmState.DRAINING)
    assert draining == [vm.name for vm in vms[:stops]]
    assert stops == 0 or plan.budget.margin >= 0


def test_wave_waits_for_domain() -> None:
    """A wave must not stop VMs of a second rack while one of the first has not returned."""
    vms = make_vms('crossings', 8, 2)
    stopped = replace(vms[0], state=VmState.REBOOTING, since_s=NOW_S)
    maintained = replace(vms[1], last_maintained_s=NOW_S)
    plan = plan_pool(make_snapshot((stopped, maintained, *vms[2:])), {})
    assert plan.changes == ()


def test_wave_ends() -> None:
    """A wave must stop each VM exactly once and never break the budget."""
    vms = make_vms('crossings', 10, 3)
    stopped: list[str] = []
    for _ in range(60):
        snapshot = make_snapshot(vms, drained=frozenset(vm.name for vm in vms))
        health = {vm.name: make_health(vm.incarnation + 1) for vm in vms if vm.stopping}
        plan = plan_pool(replace(snapshot, health={**snapshot.health, **health}), {})
        assert plan.budget.margin >= 0
        stopped += list_changed(plan, VmState.REBOOTING)
        vms = plan.vms
    assert sorted(stopped) == sorted(vm.name for vm in vms)


def test_failure_pauses_wave() -> None:
    """While the budget is broken, a wave must not go on, nor reboot a VM that has drained."""
    vms = make_vms('crossings', 4)
    draining = replace(vms[0], state=VmState.DRAINING, since_s=NOW_S)
    failed = {name: make_health(works=False) for name in ('crossings-2', 'crossings-3')}
    snapshot = make_snapshot(
        (draining, *vms[1:]), health=failed, drained=frozenset(['crossings-0'])
    )
    plan = plan_pool(snapshot, {})
    assert plan.wave.state.value == 'running'
    assert list_changed(plan, VmState.ACTIVE) == ['crossings-0']
    assert sorted(list_changed(plan, VmState.SUSPECT)) == ['crossings-2', 'crossings-3']


HEALTH_CASES = (
    # State, health, state afterwards (None: the row is deleted).
    (VmState.ACTIVE, make_health(works=False, unchanged_s=0.5), VmState.ACTIVE),
    (VmState.ACTIVE, make_health(works=False, unchanged_s=2), VmState.SUSPECT),
    (VmState.DRAINING, GONE, VmState.SUSPECT),
    (VmState.SUSPECT, make_health(unchanged_s=9), VmState.SUSPECT),
    (VmState.SUSPECT, make_health(unchanged_s=10), VmState.ACTIVE),
    (VmState.REBOOTING, make_health(1), VmState.REBOOTING),
    (VmState.REBOOTING, make_health(2), VmState.ACTIVE),
    (VmState.REBOOTING, make_health(2, works=False), VmState.REBOOTING),
    (VmState.SUSPECT, replace(GONE, unchanged_s=101), None),
)


@pytest.mark.parametrize(('state', 'health', 'expected'), HEALTH_CASES)
def test_observations(state: VmState, health: VmHealth, expected: VmState | None) -> None:
    """Neither a flapping VM nor one that a late reboot call may still stop must get work."""
    policy = replace(POLICY, maintenance_enabled=False)
    vm = make_vms('crossings', 1, state=state, since_s=NOW_S)[0]
    others = make_vms('others', 3, pool='crossings', home_pool='crossings')
    snapshot = make_snapshot((vm, *others), policy=policy, health={vm.name: health})
    states = {vm.name: vm.state for vm in plan_pool(snapshot, {}).vms}
    assert states.get(vm.name) == expected


def make_lacking_pool(failed_for_s: float, borrowed: int = 0) -> PoolSnapshot:
    """Return a pool of 4 VMs, 3 of which have failed for `failed_for_s`, with borrowed ones."""
    vms = make_vms('crossings', 4)
    suspects = tuple(replace(vm, state=VmState.SUSPECT) for vm in vms[1:])
    spares = make_vms('reserve', borrowed, pool='crossings', pool_since_s=NOW_S)
    health = {vm.name: make_health(works=False, unchanged_s=failed_for_s) for vm in suspects}
    return make_snapshot(
        (vms[0], *suspects, *spares), health=health, free_spares={'reserve': 3, 'other': 1}
    )


SPARE_CASES: tuple[tuple[float, int, dict[str, int]], ...] = (
    # Seconds since the failure, borrowed VMs, VMs wanted from each spare pool.
    (9.0, 0, {}),
    (11.0, 0, {'reserve': 1}),
    (11.0, 1, {'reserve': 1}),
)


@pytest.mark.parametrize(('failed_for_s', 'borrowed', 'wanted'), SPARE_CASES)
def test_wanted_spares(failed_for_s: float, borrowed: int, wanted: dict[str, int]) -> None:
    """A short failure requests no spare VM; a longer one requests as many as the budget lacks."""
    assert plan_pool(make_lacking_pool(failed_for_s, borrowed), {}).wanted == wanted


RETURN_CASES = (
    # Seconds since the move, failing VMs, whether the spare VM returns.
    (59.0, 0, False),
    (61.0, 0, True),
    (61.0, 3, False),
)


@pytest.mark.parametrize(('held_s', 'failing', 'returns'), RETURN_CASES)
def test_spare_returns(held_s: float, failing: int, returns: bool) -> None:
    """A spare VM must return once the hold time is over, but not while it is needed."""
    vms = make_vms('crossings', 4, last_maintained_s=NOW_S)
    spare = make_vms('reserve', 1, pool='crossings', pool_since_s=NOW_S - held_s)
    health = {vm.name: make_health(works=False, unchanged_s=0) for vm in vms[:failing]}
    plan = plan_pool(make_snapshot((*vms, *spare), health=health), {'reserve': 1})
    assert (list_changed(plan, VmState.DRAINING) == ['reserve-0']) == returns
    assert plan.wanted == ({} if returns else {'reserve': 1})


REQUEST_CASES: tuple[tuple[tuple[SpareRequest, ...], list[str]], ...] = (
    ((), []),
    ((SpareRequest('a', 1, 1),), []),
    ((SpareRequest('a', 2, 1), SpareRequest('b', 1, 0)), ['b', 'a']),
    ((SpareRequest('a', 5, 0),), ['a', 'a', 'a']),
)


@pytest.mark.parametrize(('requests', 'expected'), REQUEST_CASES)
def test_given_spares(requests: tuple[SpareRequest, ...], expected: list[str]) -> None:
    """A spare VM must go to one pool only, and no request must get more VMs than it wants."""
    vms = make_vms('reserve', 3, last_maintained_s=NOW_S)
    snapshot = make_snapshot(vms, name='reserve', policy=SPARE_POLICY, requests=requests)
    moves = [change.after for change in plan_pool(snapshot, {}).changes]
    assert [vm.move_to for vm in moves if vm is not None] == expected


def test_overdue_vm_borrows_spare() -> None:
    """Without a borrowed VM, a pool whose budget allows no stop would never be maintained."""
    policy = replace(POLICY, minimum_available_ratio=1)
    vms = make_vms('crossings', 2)
    blocked = make_snapshot(vms, policy=policy, free_spares={'reserve': 2})
    assert plan_pool(blocked, {}).wanted == {'reserve': 1}
    spare = make_vms('reserve', 1, pool='crossings')
    plan = plan_pool(make_snapshot((*vms, *spare), policy=policy), {'reserve': 1})
    assert list_changed(plan, VmState.DRAINING) == ['crossings-0']
    assert plan.wanted == {'reserve': 1}
