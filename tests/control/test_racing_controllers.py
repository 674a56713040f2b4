"""Tests controllers of several entries on one store, with lost replies and outdated views."""

import random
from dataclasses import replace
from typing import Any, cast

import pytest

from comfreywind.bundle.models import PoolModel
from comfreywind.bundle.rules import PoolRules, Rules
from comfreywind.control.control_parts import ControlComponents
from comfreywind.control.control_view import CONTROL_TABLES, ControlView
from comfreywind.control.drain_watch import DrainWatch
from comfreywind.control.health_watch import HealthWatch
from comfreywind.control.member_watch import MemberWatch
from comfreywind.control.pool_controller import PoolController
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.platform.vm_entry import VmEntry
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.address import Address
from comfreywind.settings.timings import Timings
from tests.helpers.fake_platform import FakePlatform
from tests.helpers.manual_clock import ManualClock

TIMINGS = Timings(control_ttl_s=4, control_renew_s=1, suspect_s=5, run_margin_s=0, reboot_retry_s=1)
POOLS: dict[str, dict[str, object]] = {
    'crossings': {'minimum_available_ratio': 0.5},
    'reserve': {'spare': True},
}
STEPS_COUNT = 600


class HubWithoutPeers:
    """A hub without peers, so each entry considers itself the preferred holder of every pool."""

    def list_alive(self) -> tuple[PeerIdentity, ...]:
        """Return no peer."""
        return ()

    def list_states(self) -> tuple[Any, ...]:
        """Return no peer."""
        return ()

    def list_members(self) -> dict[str, Address]:
        """Return no member."""
        return {}


class Entry:
    """The pool control of one entry; the test decides when its view is updated."""

    def __init__(self, name: str, platform: FakePlatform, clock: ManualClock) -> None:
        """Start without rows."""
        self.view = ControlView(clock)
        hub = cast(Any, HubWithoutPeers())
        members = MemberWatch(name, hub, self.view, dict, clock, silence_limit_s=1)
        self._platform = platform
        self.components = ControlComponents(
            name=name,
            incarnation=1,
            tables=cast(Any, platform),
            vm_operations=cast(Any, platform),
            view=self.view,
            members=members,
            drains=DrainWatch(self.view, members, clock),
            health=HealthWatch(clock),
            decisions=DecisionLog(clock),
            clock=clock,
            timings=TIMINGS,
        )
        self.controllers = {pool: PoolController(pool, self.components) for pool in POOLS}

    def read_feed(self) -> None:
        """Update the view from the change feed."""
        self.view.apply_changes(self._platform.read_now(self.view.sequence, CONTROL_TABLES))

    def observe(self, failed: set[str]) -> None:
        """Record all VMs except the failed ones as working."""
        vms = self._platform.vms
        rows = {seen.row.key: seen.row.value or {} for seen in self.view.list_rows('vms')}
        incarnations = {name: int(row['incarnation']) for name, row in rows.items()}
        self.components.health.observe(incarnations, vms, set(vms) - failed)

    async def run_cycle(self, rules: Rules) -> None:
        """Run one control cycle for each pool."""
        for pool, controller in self.controllers.items():
            listed = [vm for vm in self._platform.vms.values() if vm.pool == pool]
            await controller.tick(rules, listed)


def make_rules() -> Rules:
    """Return rules with a short maintenance period."""
    common = {'max_run_s': 1, 'maintenance_period_s': 60, 'maintenance_lead_s': 0}
    pools = {
        name: PoolRules(name, **dict(PoolModel.model_validate({**common, **fields})))
        for name, fields in POOLS.items()
    }
    return Rules(version=1, teams={}, pools=pools, queues={}, objectives=())


def make_vms() -> list[VmEntry]:
    """Return 6 VMs in 2 racks and 2 spare VMs."""
    return [
        VmEntry(
            name=f'{pool}-{index}',
            address=Address('127.0.0.1', 9),
            data_centre='dc-1',
            rack=f'rack-{index // 3}',
            pool=pool,
            state='live',
            incarnation=1,
        )
        for pool, count in (('crossings', 6), ('reserve', 2))
        for index in range(count)
    ]


def count_available(platform: FakePlatform, failed: set[str]) -> int:
    """Return the number of active VMs of pool `crossings` that have not failed."""
    rows = platform.read_now(0, ['vms']).rows
    return sum(
        (row.value or {})['state'] == 'active'
        and (row.value or {})['pool'] == 'crossings'
        and row.key not in failed
        for row in rows
    )


@pytest.mark.parametrize('seed', range(12))
async def test_racing_holders(seed: int) -> None:
    """Holders that race, pause and lose replies never stop more VMs than the budget allows.

    Two entries that both consider themselves holder could each stop as many VMs as allowed.
    """
    rng = random.Random(seed)
    clock = ManualClock()
    platform = FakePlatform(make_vms(), rng, fault_ratio=0.1)
    entries = [Entry(name, platform, clock) for name in ('a', 'b', 'c')]
    rules = make_rules()
    lowest_available = len(platform.vms)
    for step in range(STEPS_COUNT):
        clock.advance(rng.choice((0.2, 0.5, 1)))
        entry = rng.choice(entries)
        # An entry that skips a read of the feed acts on old rows, as after a pause.
        if rng.random() < 0.7:
            entry.read_feed()
        entry.observe(set())
        await entry.run_cycle(rules)
        if step > 50:
            lowest_available = min(lowest_available, count_available(platform, set()))
    assert lowest_available >= 3
    assert platform.early_reboots == []
    assert min(vm.incarnation for vm in platform.vms.values()) >= 2
    holders = {
        entry.components.name
        for entry in entries
        if entry.components.decisions.find('pool/crossings')
    }
    assert len(holders) > 1, 'fewer than 2 entries made decisions about the pool'


@pytest.mark.parametrize('seed', range(6))
async def test_spares_move_once(seed: int) -> None:
    """A failure moves only as many spare VMs as needed, and they return after the recovery.

    A repeated request or a lost reply could move a second VM or leave a borrowed one behind.
    """
    rng = random.Random(seed)
    clock = ManualClock()
    platform = FakePlatform(make_vms(), rng, fault_ratio=0.1)
    entries = [Entry(name, platform, clock) for name in ('a', 'b')]
    rules = make_rules()
    pools = {
        name: replace(pool, maintenance_enabled=False, spare_hold_s=30)
        for name, pool in rules.pools.items()
    }
    rules = replace(rules, pools=pools)
    failed: set[str] = set()
    moves: set[tuple[str, str, float]] = set()
    for step in range(STEPS_COUNT):
        clock.advance(0.5)
        if step == 100:
            failed = {f'crossings-{index}' for index in range(4)}
        if step == 300:
            failed = set()
        for entry in entries:
            entry.read_feed()
            entry.observe(failed)
            await entry.run_cycle(rules)
        moves |= {
            (row.key, row.value['pool'], row.value['pool_since_s'])
            for row in platform.read_now(0, ['vms']).rows
            if row.value is not None and row.key.startswith('reserve')
        }
        if step == 299:
            assert count_available(platform, failed) == 3
    # One spare VM is enough. It has 3 rows (first, moved in, moved back), the other one its first.
    assert len(moves) == 4
    assert {pool for _, pool, _ in moves} == {'crossings', 'reserve'}
    assert count_available(platform, set()) == 6


async def test_removed_pool_returns_spares() -> None:
    """A pool that was removed from the bundle returns its borrowed VMs.

    Without a controller for the removed pool, the spare VMs would stay there for good.
    """
    clock = ManualClock()
    platform = FakePlatform(make_vms(), random.Random(0), fault_ratio=0)
    entry = Entry('a', platform, clock)
    rules = make_rules()
    pools = {name: replace(pool, maintenance_enabled=False) for name, pool in rules.pools.items()}
    failed = {f'crossings-{index}' for index in range(4)}
    for step in range(400):
        clock.advance(0.5)
        removed = {name: pool for name, pool in pools.items() if step < 200 or pool.spare}
        entry.read_feed()
        entry.observe(failed)
        await entry.run_cycle(replace(rules, pools=removed))
        if step == 199:
            assert count_available(platform, failed) == 3
    assert count_available(platform, failed) == 2
    assert len(entry.view.list_pool('reserve')) == 2
