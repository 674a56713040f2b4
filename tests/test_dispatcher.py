"""Dispatcher of one entry: wake-ups, queue limit, deadlines, cancellation and start order."""

import pytest
import trio
from trio.testing import MockClock

from comfreywind.decisions.refusal import RefusalReason
from comfreywind.entry.placement import Placement
from comfreywind.entry.refusal_error import RefusalError
from tests.helpers.dispatch_rig import SLOTS, DispatchHarness


async def fill_all_slots(harness: DispatchHarness, team: str) -> list[Placement]:
    """Return placements that fill every slot."""
    ticket = harness.make_ticket(team)
    return [await harness.dispatchers[0].acquire(ticket) for _ in range(len(harness.vms) * SLOTS)]


async def test_queue_bound(autojump_clock: MockClock) -> None:
    """While no request ends, a queue without a limit would grow indefinitely."""
    harness = DispatchHarness({'rosters': 1}, targets=1)
    async with trio.open_nursery() as nursery:
        for _ in range(300):
            nursery.start_soon(harness.call, 'rosters', 100, 0, 'rebuild', 1)
    queue_limit = harness.queues['rebuild'].queue_limit
    assert harness.count_refused('rosters', RefusalReason.QUEUE_FULL) == 300 - SLOTS - queue_limit
    assert harness.count_refused('rosters', RefusalReason.DEADLINE_IN_QUEUE) == queue_limit


async def test_deadline_is_kept_to(autojump_clock: MockClock) -> None:
    """A waiting request must be refused at its deadline, neither later nor earlier."""
    harness = DispatchHarness({'rosters': 1}, targets=1)
    await fill_all_slots(harness, 'rosters')
    started_s = trio.current_time()
    with pytest.raises(RefusalError) as caught:
        await harness.dispatchers[0].acquire(harness.make_ticket('rosters', wait_s=0.7))
    assert caught.value.refusal.reason is RefusalReason.DEADLINE_IN_QUEUE
    assert trio.current_time() - started_s == pytest.approx(0.7, abs=0.001)


async def test_cancellation_wave_frees_places(autojump_clock: MockClock) -> None:
    """Cancelled requests that stay queued would count for the queue limit or get slots."""
    harness = DispatchHarness({'rosters': 1}, targets=1)
    placements = await fill_all_slots(harness, 'rosters')
    queue_limit = harness.queues['rebuild'].queue_limit
    with trio.CancelScope() as wave:
        async with trio.open_nursery() as nursery:
            for _ in range(queue_limit):
                nursery.start_soon(harness.dispatchers[0].acquire, harness.make_ticket('rosters'))
            await trio.testing.wait_all_tasks_blocked()
            wave.cancel()
    async with trio.open_nursery() as nursery:
        for _ in range(queue_limit):
            nursery.start_soon(harness.call, 'rosters', 0.01)
        await trio.testing.wait_all_tasks_blocked()
        for placement in placements:
            harness.dispatchers[0].release(placement)
    assert harness.results == {('rosters', 'in-time'): queue_limit}


async def test_order_of_one_team(autojump_clock: MockClock) -> None:
    """Requests of one queue must start in the order of their arrival."""
    harness = DispatchHarness({'rosters': 1}, targets=1)
    placements = await fill_all_slots(harness, 'rosters')
    order: list[int] = []

    async def wait_for_place(number: int) -> None:
        await harness.dispatchers[0].acquire(harness.make_ticket('rosters'))
        order.append(number)

    async with trio.open_nursery() as nursery:
        for number in range(SLOTS):
            nursery.start_soon(wait_for_place, number)
            await trio.testing.wait_all_tasks_blocked()
        for placement in placements:
            harness.dispatchers[0].release(placement)
            await trio.testing.wait_all_tasks_blocked()
    assert order == list(range(SLOTS))


async def test_refused_request_goes_to_the_front(autojump_clock: MockClock) -> None:
    """A request that a full target rejected must start before requests that arrived later."""
    harness = DispatchHarness({'rosters': 1}, targets=1)
    placements = await fill_all_slots(harness, 'rosters')
    dispatcher = harness.dispatchers[0]
    order: list[str] = []

    async def wait_again() -> None:
        await dispatcher.reacquire(harness.make_ticket('rosters'), placements[0])
        order.append('refused')

    async def wait_first_time() -> None:
        await dispatcher.acquire(harness.make_ticket('rosters'))
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
    """Requests that wait for units must start when units arrive and be reported as demand.

    Otherwise they would sleep until their deadline, or the source would get too few or many units.
    """
    harness = DispatchHarness({'rosters': 1, 'timetables': 1})
    units = harness.units[0]
    units.free['rosters'] = 0
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(harness.call, 'rosters', 1)
        nursery.start_soon(harness.call, 'timetables', 1)
        await trio.testing.wait_all_tasks_blocked()
        assert units.waiting['rosters'] == 3
        started_s = trio.current_time()
        units.add_units('rosters', 2)
        assert units.waiting['rosters'] == 1
    assert units.free['rosters'] == 2
    assert units.waiting['rosters'] == 0
    assert trio.current_time() - started_s == pytest.approx(2, abs=0.1)


async def test_new_targets_wake_waiting_requests(autojump_clock: MockClock) -> None:
    """New targets must wake waiting requests, which would otherwise sleep until their deadline."""
    harness = DispatchHarness({'rosters': 1}, targets=2)
    harness.fleet_views[0].apply_vm_list([])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.call, 'rosters', 1)
        await trio.sleep(3)
        harness.fleet_views[0].apply_vm_list(harness.vms)
    assert trio.current_time() == pytest.approx(4, abs=0.1)
    assert harness.results == {('rosters', 'in-time'): 1}


async def test_pool_without_targets(autojump_clock: MockClock) -> None:
    """The refusal must name the missing target, not the deadline, if the pool has no target."""
    harness = DispatchHarness({'rosters': 1}, targets=0)
    await harness.call('rosters', 1, 0, 'rebuild', 2)
    assert harness.count_refused('rosters', RefusalReason.NO_TARGET) == 1


async def test_hopeless_deadline_is_refused_on_arrival(autojump_clock: MockClock) -> None:
    """A request must be refused on arrival if the queue is too long for its deadline."""
    harness = DispatchHarness({'rosters': 1}, targets=1)
    for _ in range(10):
        await harness.call('rosters', 1)
    async with trio.open_nursery() as nursery:
        for _ in range(SLOTS * 4):
            nursery.start_soon(harness.call, 'rosters', 1)
        await trio.testing.wait_all_tasks_blocked()
        started_s = trio.current_time()
        await harness.call('rosters', 1, 0, 'rebuild', 2)
        assert trio.current_time() == started_s
    assert harness.count_refused('rosters', RefusalReason.DEADLINE_IN_QUEUE) == 1


async def test_estimate_recovers(autojump_clock: MockClock) -> None:
    """The run time estimate must expire.

    An estimate that is too high rejects the requests whose runs would correct it, so that without
    an expiry all requests would be refused.
    """
    harness = DispatchHarness({'rosters': 1})
    for _ in range(10):
        await harness.call('rosters', 5)
    await harness.call('rosters', 0.1, 0, 'rebuild', 1)
    assert harness.count_refused('rosters', RefusalReason.DEADLINE_IN_QUEUE) == 1
    await trio.sleep(30)
    await harness.call('rosters', 0.1, 0, 'rebuild', 1)
    assert harness.count_refused('rosters', RefusalReason.DEADLINE_IN_QUEUE) == 1
