"""Tests of the teams' shares over several entries: uneven load, bursts and urgent work."""

import pytest
import trio
from trio.testing import MockClock

from comfreywind.decisions.fair_share import ShareClaim, compute_fair_shares
from tests.helpers.dispatch_rig import SLOTS, DispatchHarness

WARM_UP_S = 5
MEASURED_S = 10
URGENT_TEST_S = 40


async def measure_shares(
    harness: DispatchHarness, loads: list[tuple[str, int, float, float]]
) -> dict[str, float]:
    """Return the mean number of slots that each team uses.

    A load is (team, entry, rate in hertz, run time in seconds).
    """
    with trio.move_on_after(WARM_UP_S + MEASURED_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.run_reports)
            for team, entry, rate_hz, run_s in loads:
                nursery.start_soon(harness.call_at_rate, team, run_s, rate_hz, entry)
            await trio.sleep(WARM_UP_S)
            before = dict(harness.service_s)
            await trio.sleep(MEASURED_S - 0.001)
            used = {team: total - before.get(team, 0) for team, total in harness.service_s.items()}
            nursery.cancel_scope.cancel()
    return {team: total / MEASURED_S for team, total in used.items()}


# Each case: name, weights, and loads of (team, entry, rate in hertz, run time in seconds).
SHARE_CASES = (
    (
        'one greedy team',
        {'greedy': 1, 'rosters': 1, 'timetables': 2},
        [('greedy', entry, 200, 0.2) for entry in range(3)]
        + [('rosters', entry, 20, 0.2) for entry in range(3)]
        + [('timetables', entry, 40, 0.2) for entry in range(3)],
    ),
    (
        'load on one entry each',
        {'rosters': 1, 'timetables': 1, 'notices': 1},
        [('rosters', 0, 100, 0.2), ('timetables', 1, 300, 0.2), ('notices', 2, 100, 0.2)],
    ),
    (
        'idle capacity',
        {'rosters': 1, 'timetables': 1},
        [('rosters', 0, 20, 0.2), ('timetables', 1, 400, 0.2)],
    ),
    (
        'different run times',
        {'rosters': 1, 'timetables': 1},
        [('rosters', 0, 100, 0.5), ('timetables', 0, 1000, 0.05)],
    ),
    (
        'small shares on many entries',
        {f'team-{index}': 1 for index in range(16)},
        [(f'team-{index}', entry, 10, 0.2) for index in range(16) for entry in range(6)],
    ),
)


@pytest.mark.parametrize(('case', 'weights', 'loads'), SHARE_CASES, ids=[c[0] for c in SHARE_CASES])
async def test_share_attainment(
    autojump_clock: MockClock,
    case: str,
    weights: dict[str, float],
    loads: list[tuple[str, int, float, float]],
) -> None:
    """Under load, each team must get at least 90% of its fair share of all slots."""
    harness = DispatchHarness(weights, entries=1 + max(load[1] for load in loads))
    slots = await measure_shares(harness, loads)
    demand = {team: sum(load[2] * load[3] for load in loads if load[0] == team) for team in weights}
    claims = {team: ShareClaim(weights[team], demand[team]) for team in weights}
    entitled = compute_fair_shares(len(harness.vms) * SLOTS, claims)
    attained = {team: slots[team] / entitled[team] for team in weights}
    assert min(attained.values()) >= 0.9, attained


# Each case: entries, run time in seconds of the work that fills the pool, urgent requests per
# second.
URGENT_CASES = ((1, 0.2, 4), (4, 0.2, 4), (4, 2, 2), (4, 10, 0.5))


@pytest.mark.parametrize(('entries', 'run_s', 'urgent_hz'), URGENT_CASES)
async def test_urgent_work_starts_in_time(
    autojump_clock: MockClock, entries: int, run_s: float, urgent_hz: float
) -> None:
    """Urgent work must start within 1.3 s although the pool is full."""
    harness = DispatchHarness({'greedy': 3, 'rosters': 1}, entries=entries)
    with trio.move_on_after(URGENT_TEST_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.run_reports)
            for entry in range(entries):
                nursery.start_soon(
                    harness.call_at_rate, 'greedy', run_s, 64 / run_s / entries, entry
                )
            await trio.sleep(max(3, 2 * run_s))
            await harness.call_at_rate('rosters', 0.5, urgent_hz, entries - 1, queue='urgent')
    waits_s = harness.start_waits_s['urgent']
    assert len(waits_s) >= 0.9 * urgent_hz * (URGENT_TEST_S - max(3, 2 * run_s)) - 1
    assert max(waits_s) <= 1.3


async def test_burst_of_one_team(autojump_clock: MockClock) -> None:
    """A burst must not delay other teams, and it must get the slots that are free."""
    harness = DispatchHarness({'greedy': 1, 'rosters': 1}, entries=3)
    with trio.move_on_after(12):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.run_reports)
            nursery.start_soon(harness.call_at_rate, 'rosters', 0.2, 20, 0)
            await trio.sleep(2)
            for entry in range(3):
                for _ in range(150):
                    nursery.start_soon(harness.call, 'greedy', 0.2, entry)
            await trio.sleep(3.6)
            # 28 of the 32 slots are free for the burst, so 140 of its requests are served a second.
            assert harness.results['greedy', 'in-time'] >= 0.9 * 450
    assert set(harness.results) == {('greedy', 'in-time'), ('rosters', 'in-time')}
    assert harness.results['greedy', 'in-time'] == 450
    # It may take two report periods until an entry knows that a slot has become free.
    assert max(harness.start_waits_s['rebuild'][:40]) <= 0.5


async def test_cancellation_wave_over_entries(autojump_clock: MockClock) -> None:
    """When many requests are cancelled at once, all their slots and units must become free."""
    harness = DispatchHarness({'greedy': 1, 'rosters': 1}, entries=3)
    for units in harness.units:
        units.free['greedy'] = 5
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.run_reports)
        with trio.move_on_after(3):
            async with trio.open_nursery() as callers:
                for entry in range(3):
                    callers.start_soon(harness.call_at_rate, 'greedy', 1, 100, entry)
        assert not harness.running['greedy']
        assert [units.free['greedy'] for units in harness.units] == [5, 5, 5]
        async with trio.open_nursery() as callers:
            for number in range(32):
                callers.start_soon(harness.call, 'rosters', 0.2, number % 3, 'rebuild', 1)
        nursery.cancel_scope.cancel()
    assert harness.results['rosters', 'in-time'] == 32


async def test_excess_goes_to_whoever_needs_it(autojump_clock: MockClock) -> None:
    """Slots must not be left free for a peer whose team has no units to use them."""
    harness = DispatchHarness({'greedy': 1, 'rosters': 1}, entries=2)
    harness.units[1].free['rosters'] = 1
    loads = [('greedy', 0, 400.0, 0.2), ('rosters', 1, 100.0, 0.2)]
    slots = await measure_shares(harness, loads)
    assert slots['greedy'] >= 0.95 * 31
