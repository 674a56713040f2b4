"""Maintenance of VMs whose tasks may be unavailable only one at a time.

Such a wave is late when the holder polls for VMs that went down instead of reacting to a new list.
Seen on prevoz-plan-large quiet-1: the last ten VMs of a wave of 131 went down one every 2.7 s,
because their tasks started elsewhere only when the list was next read.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio

from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.maintenance_wave import MaintenanceWave
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.step import Step
from comfreywind.jobs.vm import Vm
from comfreywind.jobs.vm_list import VmList
from comfreywind.platform.stored_row import RowChange
from comfreywind.platform.vm_client import VmOrderAnswer
from comfreywind.scheduling.maintenance_keeper import MaintenanceKeeper
from comfreywind.scheduling.orders import StartOrder
from comfreywind.scheduling.vm_watch import VmWatch
from tests.helpers.scheduler_harness import POOL, SchedulerHarness, make_job
from tests.helpers.trio_clock import TrioClock

VMS = 8
MAINTENANCE_S = 2.0
LIMIT = 3
WARM_UP_S = 0.4
# Limit of the time from the order of a VM until its task starts elsewhere, which is the interval
# of the keeper.
RESTART_LIMIT_S = 0.3


class Fleet:
    """Targets and the VM service, with a store and a term that never fail."""

    def __init__(self, unavailable_limit: int = 1) -> None:
        """Run a long-running step with a task on each VM; half of the VMs are due."""
        self.harness = SchedulerHarness(targets=2 * VMS, cpu=2_000)
        step = Step(
            2 * VMS, Resources(1_000, 100), long_running=True, unavailable_limit=unavailable_limit
        )
        self.harness.add_job(make_job(step))
        vm = Vm('', POOL, True, 'dc', frozenset(), Resources(2_000, 100), '')
        # The VMs that are due sort first, so that a task could be moved to one of them.
        names = sorted(f't{number}' for number in range(2 * VMS))
        self.vms = {name: replace(vm, name=name, target_id=name) for name in names}
        self.at_work_s: dict[str, float] = {}
        self.version = 0
        self.rows: dict[str, bytes | None] = {}
        self.orders: Counter[str] = Counter()
        self.ordered_s = 0.0
        self.restarts_s: list[float] = []
        self.restarted_on: list[str] = []
        self.reserved_by_earlier: set[str] = set()
        self.most_down = 0
        self.rules = JobRules(1)
        wave = MaintenanceWave(1, tuple(names[:VMS]), VMS, 60)
        self.waves = {1: wave}

    def get_wave_end_s(self, wave: int) -> float:
        """Return a time that is far away."""
        return float('inf')

    async def read_vms(self) -> VmList:
        """Return the list as it is now."""
        await trio.sleep(0.01)
        return VmList(tuple(self.vms.values()))

    async def maintain(self, vm: str, *_: Any) -> VmOrderAnswer:
        """Take a VM down at once and bring it back after its maintenance, as another target."""
        taken = self.vms[vm]
        self.orders[vm] += 1
        self.ordered_s = trio.current_time()
        self.vms[vm] = replace(taken, up=False, in_maintenance=True)
        down = [
            name
            for name in self.waves[1].vms
            if name in self.vms
            and (self.vms[name].in_maintenance or name in self.reserved_by_earlier)
        ]
        self.most_down = max(self.most_down, len(down))
        self.nursery.start_soon(self._bring_back, taken)
        return VmOrderAnswer.DONE

    async def _bring_back(self, taken: Vm) -> None:
        await trio.sleep(MAINTENANCE_S)
        self.vms[taken.name] = replace(taken, target_id=f'{taken.target_id}-later')
        self.harness.add_target(f'{taken.target_id}-later', 2_000)

    async def read_row(self, table: str, part: str, key: str) -> Any:
        """Return a row."""
        return SimpleNamespace(payload=self.rows.get(key), version=self.version)

    async def commit(self, part: str, changes: list[RowChange]) -> int:
        """Store everything."""
        self.rows.update((change.key, change.payload) for change in changes)
        self.version += 1
        return self.version

    def may_send(self, vm: str) -> bool:
        """Return that every send window is open."""
        return True

    async def reserve(self, vms: list[str]) -> bool:
        """Reserve all VMs."""
        return True

    def may_reserve(self, vm: str) -> bool:
        """Return whether no earlier holder may have ordered the VM."""
        return vm not in self.reserved_by_earlier

    def is_valid(self) -> bool:
        """Return that the term is held."""
        return True

    def start(self, nursery: trio.Nursery, watch: VmWatch, needed: Callable[[], bool]) -> None:
        """Run the targets and the reads of the list."""
        self.nursery = nursery
        nursery.start_soon(self.serve)
        nursery.start_soon(watch.run, needed, lambda: None)

    async def serve(self) -> None:
        """Start waiting tasks, which are at work after their warm-up."""
        while True:
            for order in self.harness.plan():
                if isinstance(order, StartOrder):
                    self.harness.answer(order, StartAnswer.STARTED)
                    self.at_work_s[order.target_id] = trio.current_time() + WARM_UP_S
                    self.restarted_on.append(order.target_id)
                    self.restarts_s.append(trio.current_time() - self.ordered_s)
            for record in self.harness.scheduler_state.targets.values():
                for run in record.runs.values():
                    at_work = trio.current_time() >= self.at_work_s[record.entry.target_id]
                    run.at_work = at_work and not run.ending
            await trio.sleep(0.02)


def make_keeper(fleet: Any, watch: VmWatch) -> MaintenanceKeeper:
    """Return the keeper of a holder that takes over now."""
    clock = TrioClock()
    term = cast('Any', SimpleNamespace(epoch=1, taken_s=clock.read_monotonic_s()))
    scheduler_state = fleet.harness.scheduler_state
    return MaintenanceKeeper(
        term,
        'n',
        fleet,
        fleet,
        fleet,
        watch,
        fleet,
        fleet,
        scheduler_state,
        clock,
        lambda orders: None,
    )


async def test_one_at_a_time(autojump_clock: trio.testing.MockClock) -> None:
    """The VMs of one step follow each other without a delay, which would make the wave late."""
    fleet = cast('Any', Fleet())
    watch = VmWatch(fleet, fleet.harness.scheduler_state, TrioClock())
    keeper = make_keeper(fleet, watch)
    async with trio.open_nursery() as nursery:
        fleet.start(nursery, watch, keeper.is_busy)
        await trio.sleep(2 * WARM_UP_S)
        due = {name for wave in fleet.waves.values() for name in wave.vms}
        fleet.restarts_s.clear()
        fleet.restarted_on.clear()
        nursery.start_soon(keeper.run)
        with trio.move_on_after(VMS * 4):
            while keeper.is_busy():
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert not keeper.is_busy()
    assert fleet.restarts_s
    assert max(fleet.restarts_s) < RESTART_LIMIT_S
    # A task that is moved to a VM which is due as well has to be moved once more.
    assert due.isdisjoint(fleet.restarted_on)


async def test_successive_holders(autojump_clock: trio.testing.MockClock) -> None:
    """Each VM is ordered once over all holders of a wave, which is then reported as complete.

    Seen on villacres-quito inc-c184: 22 orders for 15 VMs over four holders, and the wave was
    reported as complete 13 s after its last maintenance.
    """
    fleet = cast('Any', Fleet())
    watch = VmWatch(fleet, fleet.harness.scheduler_state, TrioClock())
    async with trio.open_nursery() as nursery:
        fleet.start(nursery, watch, lambda: True)
        await trio.sleep(2 * WARM_UP_S)
        keeper = make_keeper(fleet, watch)
        for _ in range(VMS):
            with trio.move_on_after(1.7):
                await keeper.run()
            # By now any order of the previous holder has been carried out or never will be.
            await trio.sleep(MAINTENANCE_S)
            keeper = make_keeper(fleet, watch)
        with trio.move_on_after(VMS * 4):
            nursery.start_soon(keeper.run)
            while keeper.is_busy():
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert not keeper.is_busy()
    assert set(fleet.orders.values()) == {1}
    assert len(fleet.orders) == VMS


@pytest.mark.parametrize(
    ('ordered', 'listed'), [(('t0',), ()), ((), ('t0', 't1')), (('t0',), ('t0', 't1'))]
)
async def test_orders_of_an_earlier_holder(
    autojump_clock: trio.testing.MockClock, ordered: tuple[str, ...], listed: tuple[str, ...]
) -> None:
    """After a change of the holder a wave goes on within its limit of VMs that are down.

    The earlier holder may have ordered the VMs `ordered` just before; those in `listed` have been
    down for longer than any order takes. Seen on prevoz-plan-large inc-a037: 6.8 s of a wave lost,
    one VM late.
    """
    fleet = cast('Any', Fleet(unavailable_limit=2 * VMS))
    fleet.waves = {1: MaintenanceWave(1, fleet.waves[1].vms, LIMIT, 60)}
    fleet.reserved_by_earlier.update(ordered)
    fleet.vms.update(
        {name: replace(fleet.vms[name], up=False, in_maintenance=True) for name in listed}
    )
    watch = VmWatch(fleet, fleet.harness.scheduler_state, TrioClock())
    keeper = make_keeper(fleet, watch)
    async with trio.open_nursery() as nursery:
        fleet.start(nursery, watch, keeper.is_busy)
        nursery.start_soon(keeper.run)
        with trio.move_on_after(VMS * MAINTENANCE_S):
            while sum(fleet.orders.values()) < VMS - len({*ordered, *listed}):
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert set(fleet.orders) == set(fleet.waves[1].vms) - {*ordered, *listed}
    assert fleet.most_down == LIMIT
