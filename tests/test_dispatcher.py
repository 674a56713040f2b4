"""The dispatcher of one entry: wake-ups, bounds, deadlines, cancellations and the order of starts."""

import pytest
import trio
from trio.testing import MockClock

from comfreywind.decisions.refusal import RefusalReason
from comfreywind.entry.placement import Placement
from comfreywind.entry.refusal_error import RefusalError
from tests.helpers.dispatch_rig import SLOTS, DispatchRig


async def hold_all_slots(rig: DispatchRig, team: str) -> list[Placement]:
    """Return placements that fill every slot."""
    ticket = rig.make_ticket(team)
    return [await rig.dispatchers[0].acquire(ticket) for _ in range(len(rig.vms) * SLOTS)]


async def test_queue_bound(autojump_clock: MockClock) -> None:
    """Guards against queues that grow without bound when nothing ends."""
    rig = DispatchRig({'rosters': 1}, targets=1)
    async with trio.open_nursery() as nursery:
        for _ in range(300):
            nursery.start_soon(rig.call, 'rosters', 100, 0, 'rebuild', 1)
    queue_limit = rig.queues['rebuild'].queue_limit
    assert rig.count_refused('rosters', RefusalReason.QUEUE_FULL) == 300 - SLOTS - queue_limit
    assert rig.count_refused('rosters', RefusalReason.DEADLINE_IN_QUEUE) == queue_limit


async def test_deadline_is_kept_to(autojump_clock: MockClock) -> None:
    """Guards against requests that wait past their deadline, or give up before it."""
    rig = DispatchRig({'rosters': 1}, targets=1)
    await hold_all_slots(rig, 'rosters')
    started_s = trio.current_time()
    with pytest.raises(RefusalError) as caught:
        await rig.dispatchers[0].acquire(rig.make_ticket('rosters', wait_s=0.7))
    assert caught.value.refusal.reason is RefusalReason.DEADLINE_IN_QUEUE
    assert trio.current_time() - started_s == pytest.approx(0.7, abs=0.001)


async def test_cancellation_wave_frees_places(autojump_clock: MockClock) -> None:
    """Guards against cancelled requests that keep their place in the queue or take a slot."""
    rig = DispatchRig({'rosters': 1}, targets=1)
    placements = await hold_all_slots(rig, 'rosters')
    queue_limit = rig.queues['rebuild'].queue_limit
    with trio.CancelScope() as wave:
        async with trio.open_nursery() as nursery:
            for _ in range(queue_limit):
                nursery.start_soon(rig.dispatchers[0].acquire, rig.make_ticket('rosters'))
            await trio.testing.wait_all_tasks_blocked()
            wave.cancel()
    async with trio.open_nursery() as nursery:
        for _ in range(queue_limit):
            nursery.start_soon(rig.call, 'rosters', 0.01)
        await trio.testing.wait_all_tasks_blocked()
        for placement in placements:
            rig.dispatchers[0].release(placement)
    assert rig.results == {('rosters', 'in-time'): queue_limit}


async def test_order_of_one_team(autojump_clock: MockClock) -> None:
    """Guards against requests of one queue that overtake each other."""
    rig = DispatchRig({'rosters': 1}, targets=1)
    placements = await hold_all_slots(rig, 'rosters')
    order: list[int] = []

    async def wait_for_place(number: int) -> None:
        await rig.dispatchers[0].acquire(rig.make_ticket('rosters'))
        order.append(number)

    async with trio.open_nursery() as nursery:
        for number in range(SLOTS):
            nursery.start_soon(wait_for_place, number)
            await trio.testing.wait_all_tasks_blocked()
        for placement in placements:
            rig.dispatchers[0].release(placement)
            await trio.testing.wait_all_tasks_blocked()
    assert order == list(range(SLOTS))


async def test_refused_request_goes_to_the_front(autojump_clock: MockClock) -> None:
    """Guards against a request that loses its turn because a target had no free slot."""
    rig = DispatchRig({'rosters': 1}, targets=1)
    placements = await hold_all_slots(rig, 'rosters')
    dispatcher = rig.dispatchers[0]
    order: list[str] = []

    async def wait_again() -> None:
        await dispatcher.reacquire(rig.make_ticket('rosters'), placements[0])
        order.append('refused')

    async def wait_first_time() -> None:
        await dispatcher.acquire(rig.make_ticket('rosters'))
        order.append('new')

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_first_time)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(wait_again)
        await trio.testing.wait_all_tasks_blocked()
        assert not order, 'the target has just stated that it is full'
        for placement in placements[1:3]:
            dispatcher.release(placement)
            await trio.testing.wait_all_tasks_blocked()
    assert order == ['refused', 'new']


async def test_units_wake_waiting_requests(autojump_clock: MockClock) -> None:
    """Guards against requests that sleep on although units have arrived, and a wrong demand."""
    rig = DispatchRig({'rosters': 1, 'timetables': 1})
    units = rig.units[0]
    units.free['rosters'] = 0
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(rig.call, 'rosters', 1)
        nursery.start_soon(rig.call, 'timetables', 1)
        await trio.testing.wait_all_tasks_blocked()
        assert units.waiting['rosters'] == 3
        started_s = trio.current_time()
        units.add_units('rosters', 2)
        assert units.waiting['rosters'] == 1
    assert units.free['rosters'] == 2
    assert units.waiting['rosters'] == 0
    assert trio.current_time() - started_s == pytest.approx(2, abs=0.1)


async def test_new_targets_wake_waiting_requests(autojump_clock: MockClock) -> None:
    """Guards against requests that sleep on although the fleet has grown."""
    rig = DispatchRig({'rosters': 1}, targets=2)
    rig.fleet_views[0].apply_vm_list([])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(rig.call, 'rosters', 1)
        await trio.sleep(3)
        rig.fleet_views[0].apply_vm_list(rig.vms)
    assert trio.current_time() == pytest.approx(4, abs=0.1)
    assert rig.results == {('rosters', 'in-time'): 1}


async def test_pool_without_targets(autojump_clock: MockClock) -> None:
    """Guards against blaming the caller's deadline when the pool has no target."""
    rig = DispatchRig({'rosters': 1}, targets=0)
    await rig.call('rosters', 1, 0, 'rebuild', 2)
    assert rig.count_refused('rosters', RefusalReason.NO_TARGET) == 1


async def test_hopeless_deadline_is_refused_on_arrival(autojump_clock: MockClock) -> None:
    """Guards against requests that wait for a start that comes too late for their deadline."""
    rig = DispatchRig({'rosters': 1}, targets=1)
    for _ in range(10):
        await rig.call('rosters', 1)
    async with trio.open_nursery() as nursery:
        for _ in range(SLOTS * 4):
            nursery.start_soon(rig.call, 'rosters', 1)
        await trio.testing.wait_all_tasks_blocked()
        started_s = trio.current_time()
        await rig.call('rosters', 1, 0, 'rebuild', 2)
        assert trio.current_time() == started_s
    assert rig.count_refused('rosters', RefusalReason.DEADLINE_IN_QUEUE) == 1


async def test_estimate_recovers(autojump_clock: MockClock) -> None:
    """Guards against refusing for ever because of an estimate that no run can correct."""
    rig = DispatchRig({'rosters': 1})
    for _ in range(10):
        await rig.call('rosters', 5)
    await rig.call('rosters', 0.1, 0, 'rebuild', 1)
    assert rig.count_refused('rosters', RefusalReason.DEADLINE_IN_QUEUE) == 1
    await trio.sleep(30)
    await rig.call('rosters', 0.1, 0, 'rebuild', 1)
    assert rig.count_refused('rosters', RefusalReason.DEADLINE_IN_QUEUE) == 1
