"""Compares maintenance policies: `python -m bench.experiments.maintenance`.

The decision functions of production run in virtual time over a pool of 64 VMs and its spare VMs.
No process, network or store takes part, so the figures tell about the decisions only.
"""

import itertools
import json
import random
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path

import click

from comfreywind.decisions.pools.budget import compute_budget
from comfreywind.decisions.pools.pool_plan import plan_pool
from comfreywind.decisions.pools.pool_policy import PoolPolicy
from comfreywind.decisions.pools.pool_snapshot import PoolSnapshot, SpareRequest
from comfreywind.decisions.pools.pool_vm import PoolVm, VmState
from comfreywind.decisions.pools.spares import compute_wanted_spares
from comfreywind.decisions.pools.vm_health import VmHealth
from comfreywind.decisions.pools.wave import StopChooser, choose_stops, list_due_vms

VMS_COUNT = 64
SPARES_COUNT = 4
VMS_PER_RACK = 4
DATA_CENTRES = 3
STEP_S = 10.0
CONFIRM_S = 1.0
MEAN_RUN_S = 20.0
MAX_RUN_S = 120.0
REBOOT_S = 180.0
# Failures are seen one step late, which stands for the lag of list and probes.
LIMIT_S = 43_200.0
SEEDS = range(3)
PERIOD_S = 4_233_600.0
POOL = 'crossings'
RESERVE = 'reserve'
POLICY = PoolPolicy(
    minimum_available_ratio=0.75,
    tolerate='rack',
    spare=False,
    maintenance_enabled=True,
    maintenance_period_s=PERIOD_S,
    maintenance_lead_s=0,
    spare_hold_s=600,
    doubt_s=1,
    suspect_s=10,
    reboot_limit_s=600,
    retire_s=3600,
)
RESERVE_POLICY = replace(POLICY, spare=True, maintenance_enabled=False)
# The alternatives stop VMs whatever the budget says.
UNCHECKED_POLICY = replace(POLICY, minimum_available_ratio=0, tolerate='none', spare_hold_s=LIMIT_S)


@dataclass(frozen=True, slots=True)
class Failure:
    """Some VMs that do not work from one time to another."""

    names: frozenset[str]
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class MaintenancePolicy:
    """A way to choose the VMs to stop, and the budget that the wave itself keeps."""

    name: str
    choose: StopChooser
    wave_policy: PoolPolicy


@dataclass(slots=True)
class Result:
    """What one run has cost; violations are steps with a stop and fewer VMs than required."""

    policy: str
    scenario: str
    seed: int
    duration_s: float = 0
    finished: bool = False
    moves: int = 0
    idle_vm_s: float = 0
    violation_s: float = 0
    lowest_available: int = VMS_COUNT


@dataclass(slots=True)
class World:
    """All VMs with what is true about them; times are in seconds."""

    vms: dict[str, PoolVm]
    failures: list[Failure]
    chance: random.Random
    now_s: float = STEP_S
    wanted: dict[str, int] = field(default_factory=dict)
    free_at_s: dict[str, float] = field(default_factory=dict)
    seen_failed: dict[str, float] = field(default_factory=dict)

    def list_pool(self, pool: str) -> tuple[PoolVm, ...]:
        """Return the VMs of the pool."""
        return tuple(vm for vm in self.vms.values() if vm.pool == pool)

    def find_failed(self) -> frozenset[str]:
        """Return the VMs that truly do not work."""
        active = [fail.names for fail in self.failures if fail.from_s <= self.now_s < fail.until_s]
        return frozenset().union(*active)


def choose_one(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> list[PoolVm]:
    """Stop one VM at a time."""
    return [] if any(vm.stopping for vm in vms) else list_due_vms(snapshot, vms)[:1]


def choose_percentage(snapshot: PoolSnapshot, vms: tuple[PoolVm, ...]) -> list[PoolVm]:
    """Keep a quarter of the pool stopped, which is what the ratio leaves without failures."""
    stopping = sum(vm.stopping for vm in vms)
    return list_due_vms(snapshot, vms)[: max(0, VMS_COUNT // 4 - stopping)]


POLICIES = (
    MaintenancePolicy('racks under the budget', choose_stops, POLICY),
    MaintenancePolicy('one VM at a time', choose_one, UNCHECKED_POLICY),
    MaintenancePolicy('a quarter of the pool', choose_percentage, UNCHECKED_POLICY),
)


def make_world(seed: int, make_failures: Callable[[random.Random], list[Failure]]) -> World:
    """Return a pool in which every VM is due, and its spare pool."""
    chance = random.Random(seed)
    names = [(POOL, index) for index in range(VMS_COUNT)]
    names += [(RESERVE, index) for index in range(SPARES_COUNT)]
    vms = [_make_vm(pool, index) for pool, index in names]
    return World({vm.name: vm for vm in vms}, make_failures(chance), chance)


def make_rack_failure(chance: random.Random) -> list[Failure]:
    """Return the loss of one rack for an hour during the wave."""
    rack = chance.randrange(VMS_COUNT // VMS_PER_RACK)
    members = range(rack * VMS_PER_RACK, (rack + 1) * VMS_PER_RACK)
    from_s = chance.uniform(60, 600)
    return [Failure(frozenset(f'{POOL}-{index}' for index in members), from_s, from_s + 3600)]


def make_vm_failures(chance: random.Random) -> list[Failure]:
    """Return single failures, one every 10 minutes, each for 30 minutes.

    That is 300 times the rate of the target size (53 of 7,100 VMs a day).
    """
    times_s = range(60, int(LIMIT_S), 600)
    names = [f'{POOL}-{chance.randrange(VMS_COUNT)}' for _ in times_s]
    return [
        Failure(frozenset((name,)), float(at_s), float(at_s + 1800))
        for name, at_s in zip(names, times_s, strict=True)
    ]


SCENARIOS: dict[str, Callable[[random.Random], list[Failure]]] = {
    'no failure': lambda chance: [],
    'a rack fails': make_rack_failure,
    'single VMs fail': make_vm_failures,
    'a rack and single VMs': lambda chance: [*make_rack_failure(chance), *make_vm_failures(chance)],
}


def run_wave(policy: MaintenancePolicy, scenario: str, seed: int) -> Result:
    """Return the result of one wave over the whole pool."""
    world = make_world(seed, SCENARIOS[scenario])
    result = Result(policy.name, scenario, seed)
    while world.now_s < LIMIT_S and not result.finished:
        health = _observe(world)
        _step_pool(world, policy, health, result)
        _step_reserve(world, health, result)
        world.now_s += STEP_S
        _measure(world, result)
        own = [vm for vm in world.vms.values() if vm.home_pool == POOL]
        result.finished = all(vm.incarnation > 1 and not vm.stopping for vm in own)
    result.duration_s = world.now_s
    return result


def _make_vm(pool: str, index: int) -> PoolVm:
    rack = index // VMS_PER_RACK
    return PoolVm(
        name=f'{pool}-{index}',
        pool=pool,
        home_pool=pool,
        rack=f'{pool}-rack-{rack}',
        data_centre=f'dc-{rack % DATA_CENTRES}',
        last_maintained_s=-PERIOD_S,
    )


def _observe(world: World) -> dict[str, VmHealth]:
    failed = world.find_failed()
    for name in set(world.seen_failed) - failed:
        world.seen_failed.pop(name)
    health = {}
    for vm in world.vms.values():
        rebooted = vm.state == VmState.REBOOTING and world.now_s >= vm.since_s + REBOOT_S
        incarnation = vm.incarnation + int(rebooted)
        for_s = world.now_s - world.seen_failed.get(vm.name, 0)
        works = vm.name not in world.seen_failed
        health[vm.name] = VmHealth(works, for_s, listed=True, incarnation=incarnation)
    world.seen_failed.update({name: world.now_s for name in failed - set(world.seen_failed)})
    return health


def _find_drained(world: World, pool: str) -> frozenset[str]:
    drained = set()
    for vm in world.list_pool(pool):
        if vm.state != VmState.DRAINING:
            world.free_at_s.pop(vm.name, None)
            continue
        run_s = min(MAX_RUN_S, world.chance.expovariate(1 / MEAN_RUN_S)) if pool == POOL else 0
        free_at_s = world.free_at_s.setdefault(vm.name, vm.since_s + CONFIRM_S + run_s)
        if world.now_s >= free_at_s:
            drained.add(vm.name)
    return frozenset(drained)


def _step_pool(
    world: World, policy: MaintenancePolicy, health: dict[str, VmHealth], result: Result
) -> None:
    vms = world.list_pool(POOL)
    free = sum(vm.state == VmState.ACTIVE for vm in world.list_pool(RESERVE))
    snapshot = PoolSnapshot(
        name=POOL,
        now_s=world.now_s,
        policy=policy.wave_policy,
        vms=vms,
        health={vm.name: health[vm.name] for vm in vms},
        drained=_find_drained(world, POOL),
        free_spares={RESERVE: free},
    )
    plan = plan_pool(snapshot, world.wanted, policy.choose)
    checked = replace(snapshot, policy=POLICY)
    _apply(world, plan.changes, result)
    world.wanted = compute_wanted_spares(checked, plan.vms, world.wanted)


def _step_reserve(world: World, health: dict[str, VmHealth], result: Result) -> None:
    vms = world.list_pool(RESERVE)
    given = sum(
        vm.home_pool == RESERVE and (vm.move_to == POOL or (vm.pool == POOL and not vm.move_to))
        for vm in world.vms.values()
    )
    snapshot = PoolSnapshot(
        name=RESERVE,
        now_s=world.now_s,
        policy=RESERVE_POLICY,
        vms=vms,
        health={vm.name: health[vm.name] for vm in vms},
        drained=_find_drained(world, RESERVE),
        requests=(SpareRequest(POOL, world.wanted.get(RESERVE, 0), given),),
    )
    _apply(world, plan_pool(snapshot, {}).changes, result)


def _apply(world: World, changes: tuple[object, ...], result: Result) -> None:
    for change in changes:
        before = change.before  # type: ignore[attr-defined]
        after = change.after  # type: ignore[attr-defined]
        world.vms[before.name] = after
        result.moves += int(before.pool != after.pool)


def _measure(world: World, result: Result) -> None:
    """Count idle VMs: those in the spare pool and those that are drained or reboot."""
    vms = world.list_pool(POOL)
    budget = compute_budget(vms, world.find_failed(), POLICY)
    result.idle_vm_s += STEP_S * (len(world.list_pool(RESERVE)) + budget.stopping)
    result.lowest_available = min(result.lowest_available, budget.available)
    if budget.available < budget.required and budget.stopping:
        result.violation_s += STEP_S


def main() -> int:
    """Run all policies and scenarios, print the means and write build/maintenance.json."""
    results = [
        run_wave(policy, scenario, seed)
        for scenario, policy, seed in itertools.product(SCENARIOS, POLICIES, SEEDS)
    ]
    click.echo(
        f'{"scenario":24}{"policy":26}{"duration s":>11}{"moves":>7}{"idle VM s":>11}'
        f'{"violation s":>13}{"lowest":>8}'
    )
    for scenario, policy in itertools.product(SCENARIOS, POLICIES):
        key = (scenario, policy.name)
        own = [result for result in results if (result.scenario, result.policy) == key]
        click.echo(_format_row(*key, own))
    path = Path('build/maintenance.json')
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps([asdict(result) for result in results], indent=2), encoding='utf-8')
    return 0


def _format_row(scenario: str, policy: str, results: list[Result]) -> str:
    count = len(results)
    duration_s = sum(result.duration_s for result in results) / count
    finished = '' if all(result.finished for result in results) else ' not finished'
    moves = sum(result.moves for result in results) / count
    idle_vm_s = sum(result.idle_vm_s for result in results) / count
    violation_s = sum(result.violation_s for result in results) / count
    lowest = min(result.lowest_available for result in results)
    return (
        f'{scenario:24}{policy:26}{duration_s:11.0f}{moves:7.1f}{idle_vm_s:11.0f}'
        f'{violation_s:13.1f}{lowest:8}{finished}'
    )


if __name__ == '__main__':
    sys.exit(main())
