"""Maintenance waves whose orders get no answer, and VMs that crash meanwhile."""

import enum
from collections import Counter
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, AsyncIterator, cast

import pytest
import trio

from comfreywind.decisions.scheduling.target_doubt import LIST_AGE_LIMIT_S
from comfreywind.errors import RowsChangedError
from comfreywind.jobs.maintenance_wave import MaintenanceWave
from comfreywind.jobs.vm import Vm
from comfreywind.jobs.vm_list import VmList
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.platform.vm_client import VmOrderAnswer
from comfreywind.scheduling.maintenance_keeper import MaintenanceKeeper
from comfreywind.scheduling.maintenance_record import MaintenanceRecord
from comfreywind.scheduling.maintenance_row import encode_maintenance
from comfreywind.scheduling.vm_watch import VmWatch
from comfreywind.scheduling.wave_orders import WaveOrders
from tests.helpers.trio_clock import TrioClock
from tests.scheduling.test_maintenance_rounds import LIMIT, MAINTENANCE_S, VMS, Fleet, make_keeper

CRASH_S = 1.0
LATE_S = 2.5
WAVE_S = 60
FIRST = 't0'


class Fault(enum.Enum):
    """What becomes of an order that gets no answer."""

    NOT_CARRIED_OUT = 'not carried out'
    CARRIED_OUT = 'carried out'
    CARRIED_OUT_LATE = 'carried out late'


class FaultyFleet(Fleet):
    """A fleet whose VM service leaves orders unanswered, while VMs crash.

    `faults` are those of the next orders. As on the platform, a VM that is not up is busy, and the
    service carries out a maintenance of a wave once.
    """

    def __init__(self) -> None:
        """Have `LIMIT` VMs down at a time; all orders are answered."""
        super().__init__(unavailable_limit=2 * VMS)
        self.waves = {1: MaintenanceWave(1, self.waves[1].vms, LIMIT, WAVE_S)}
        self.faults: list[Fault] = []
        self.begun: Counter[str] = Counter()
        self.missing_when_complete: list[str] = []
        self.unlisted: set[str] = set()
        self.unreadable: set[str] = set()
        self.on_order: Callable[[str], None] = lambda vm: None

    async def read_vms(self) -> VmList:
        """Return the list without the VMs that are left out or can't be read."""
        await trio.sleep(0.01)
        hidden = self.unlisted | self.unreadable
        listed = (vm for name, vm in self.vms.items() if name not in hidden)
        return VmList(tuple(listed), complete=not self.unreadable)

    async def maintain(self, vm: str, *details: Any) -> VmOrderAnswer:
        """Carry an order out, or leave it without an answer."""
        fault = self.faults.pop(0) if self.faults else None
        if fault is None:
            return await self._carry_out(vm, details)
        self.on_order(vm)
        if fault is Fault.CARRIED_OUT:
            await self._carry_out(vm, details)
        elif fault is Fault.CARRIED_OUT_LATE:
            self.nursery.start_soon(self._carry_out_late, vm, details)
        await trio.sleep(1.2)
        return VmOrderAnswer.UNKNOWN

    async def crash(self, name: str) -> None:
        """Take a VM down, and bring it back as another target."""
        taken = self.vms[name]
        if not taken.up:
            return
        self.vms[name] = replace(taken, up=False)
        record = self.harness.scheduler_state.targets[taken.target_id]
        self.harness.scheduler_state.end_incarnation(record)
        await trio.sleep(CRASH_S)
        restarted = f'{taken.target_id}-restarted'
        self.vms[name] = replace(taken, target_id=restarted)
        self.harness.add_target(restarted, 2_000)

    async def commit(self, part: str, changes: list[RowChange]) -> int:
        """Store everything, and compare the state of the wave with what has been begun."""
        for change in changes:
            if b'complete' in (change.payload or b''):
                self.missing_when_complete = [
                    name for name in self.waves[1].vms if name in self.vms and not self.begun[name]
                ]
        return await super().commit(part, changes)

    async def _carry_out(self, vm: str, details: tuple[Any, ...]) -> VmOrderAnswer:
        if self.begun[vm]:
            return VmOrderAnswer.DONE
        if not self.vms[vm].up:
            return VmOrderAnswer.REFUSED
        self.begun[vm] += 1
        return await super().maintain(vm, *details)

    async def _carry_out_late(self, vm: str, details: tuple[Any, ...]) -> None:
        await trio.sleep(LATE_S)
        await self._carry_out(vm, details)


@asynccontextmanager
async def run_wave(fleet: FaultyFleet) -> AsyncIterator[MaintenanceKeeper]:
    """Run the keeper of a holder for the fleet."""
    watch = VmWatch(cast('Any', fleet), fleet.harness.scheduler_state, TrioClock())
    keeper = make_keeper(fleet, watch)
    async with trio.open_nursery() as nursery:
        fleet.start(nursery, watch, lambda: True)
        nursery.start_soon(keeper.run)
        yield keeper
        nursery.cancel_scope.cancel()


async def wait_until_complete(keeper: MaintenanceKeeper) -> None:
    """Return once the wave is complete; fail when that takes longer than the wave may last."""
    await trio.sleep(1)
    with trio.fail_after(WAVE_S):
        while keeper.is_busy():
            await trio.sleep(0.05)


def check_wave(fleet: FaultyFleet) -> None:
    """Check that each VM had one maintenance, within the limit, before the wave was complete."""
    assert fleet.missing_when_complete == []
    assert set(fleet.begun.values()) == {1}
    assert set(fleet.begun) == set(fleet.waves[1].vms)
    assert fleet.most_down <= LIMIT


@pytest.mark.parametrize('crash_after_s', [None, 0.1, 1.0, 2.0])
@pytest.mark.parametrize('faults', [[fault] * count for fault in Fault for count in (1, 3)])
async def test_unanswered_order(
    autojump_clock: trio.testing.MockClock, faults: list[Fault], crash_after_s: float | None
) -> None:
    """A VM that crashes after an order without an answer must not count as maintained."""
    fleet = FaultyFleet()
    fleet.faults = list(faults)

    async def crash(name: str, after_s: float) -> None:
        await trio.sleep(after_s)
        await fleet.crash(name)

    if crash_after_s is not None:
        fleet.on_order = lambda vm: fleet.nursery.start_soon(crash, vm, crash_after_s)
    async with run_wave(fleet) as keeper:
        await wait_until_complete(keeper)
    check_wave(fleet)


async def test_crash_after_each_restart(autojump_clock: trio.testing.MockClock) -> None:
    """A VM that crashes again and again stays due until its maintenance is confirmed."""
    fleet = FaultyFleet()
    fleet.faults = [Fault.NOT_CARRIED_OUT]
    ordered: list[str] = []
    fleet.on_order = ordered.append
    async with run_wave(fleet) as keeper:
        while not ordered:
            await trio.sleep(0.05)
        for _ in range(4):
            await fleet.crash(ordered[0])
            await trio.sleep(1)
        await wait_until_complete(keeper)
    check_wave(fleet)


def test_refusal_after_restart() -> None:
    """A refusal doesn't end an order of which an attempt before a restart may be carried out."""
    orders = WaveOrders(cast('Any', None))
    orders.begin_attempt(make_vm(FIRST), 1).may_be_pending = True
    again = orders.begin_attempt(replace(make_vm(FIRST), target_id='restarted'), 5)
    assert again.may_be_pending
    assert again.target_id == 'restarted'


@pytest.mark.parametrize('field', ['unlisted', 'unreadable'])
async def test_vm_missing_from_some_lists(
    autojump_clock: trio.testing.MockClock, field: str
) -> None:
    """A wave must not be complete because a list lacks a VM for a short while."""
    fleet = FaultyFleet()
    async with run_wave(fleet) as keeper:
        for _ in range(20):
            getattr(fleet, field).update(name for name in fleet.waves[1].vms)
            await trio.sleep(1)
            getattr(fleet, field).clear()
            await trio.sleep(1)
        await wait_until_complete(keeper)
    check_wave(fleet)


async def test_vm_removed_for_good(autojump_clock: trio.testing.MockClock) -> None:
    """A wave is complete without a VM that has been removed, also when its order is open."""
    fleet = FaultyFleet()
    fleet.faults = [Fault.NOT_CARRIED_OUT]
    removed: list[str] = []

    def remove(vm: str) -> None:
        removed.append(vm)
        del fleet.vms[vm]

    fleet.on_order = remove
    async with run_wave(fleet) as keeper:
        await wait_until_complete(keeper)
    assert set(fleet.begun) == set(fleet.waves[1].vms) - set(removed)


async def test_vms_added_to_complete_wave(autojump_clock: trio.testing.MockClock) -> None:
    """A wave to which the operator adds VMs after it was complete is carried out again."""
    fleet = FaultyFleet()
    whole = fleet.waves[1]
    fleet.waves = {1: replace(whole, vms=whole.vms[1:])}
    async with run_wave(fleet) as keeper:
        await wait_until_complete(keeper)
        fleet.waves = {1: whole}
        assert keeper.is_busy()
        await wait_until_complete(keeper)
    check_wave(fleet)


async def test_record_of_an_earlier_holder() -> None:
    """A late write of an earlier holder is merged, and nothing counts as stored before it is."""

    class ConflictingRows:
        """A store in which a late write changes the row once."""

        conflicts = 1

        async def commit(self, part: str, changes: list[RowChange]) -> int:
            """Store the row, but for the first time."""
            if not self.conflicts:
                return 9
            self.conflicts -= 1
            change = changes[0]
            payload = encode_maintenance({1: {'late'}})
            raise RowsChangedError((StoredRow(change.table, part, change.key, payload, 8),))

    record = MaintenanceRecord(cast('Any', ConflictingRows()))
    record.add(1, 'own')
    await record.store()
    assert not record.is_stored()
    await record.store()
    assert record.is_stored()
    assert record.has_begun(1, 'late')
    assert record.has_begun(1, 'own')


def make_vm(name: str, up: bool = True) -> Vm:
    """Return a VM with a target of the same name."""
    return replace(FaultyFleet().vms[FIRST], name=name, target_id=name, up=up)


@pytest.mark.parametrize(('complete', 'lost'), [(True, True), (False, False)])
async def test_runs_on_unlisted_target(
    autojump_clock: trio.testing.MockClock, complete: bool, lost: bool
) -> None:
    """A silent target keeps its runs when the list that lacks its VM has an unreadable entry."""

    fleet = FaultyFleet()
    (order, *_) = fleet.harness.start()
    target = fleet.harness.scheduler_state.targets[order.target_id]
    lists = iter([VmList((make_vm(order.target_id),), True)])

    class Lists:
        async def read_vms(self) -> VmList:
            """Return a list with the VM of the target, then lists of one other VM."""
            return next(lists, VmList((make_vm('other'),), complete))

    target.doubt.settled_s = -LIST_AGE_LIMIT_S
    target.silent = True
    watch = VmWatch(cast('Any', Lists()), fleet.harness.scheduler_state, TrioClock())
    with trio.move_on_after(MAINTENANCE_S):
        await watch.run(lambda: True, lambda: None)
    assert (not target.runs) is lost
    assert watch.is_dead(order.target_id, 0) is lost
