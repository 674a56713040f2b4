"""Property tests of shares, the order of starts, free capacity, estimates and target choice."""

import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreywind.bundle.rules import TeamRules
from comfreywind.decisions.fair_share import ShareClaim, compute_fair_shares
from comfreywind.decisions.room_rule import CapacityRule, PoolCapacity, decide_capacity_rule
from comfreywind.decisions.service_time import (
    WAIT_MARGIN,
    ServiceTime,
    add_sample,
    could_meet_deadline,
    estimate_wait_s,
    is_expected_to_meet_deadline,
)
from comfreywind.decisions.slot_allocation import allocate_slots
from comfreywind.decisions.slot_rounding import compute_rounding_offset, round_to_slots
from comfreywind.decisions.start_order import advance_virtual_time, choose_team
from comfreywind.decisions.target_choice import choose_target
from comfreywind.decisions.team_load import TeamLoad
from comfreywind.decisions.urgent_reserve import (
    MAX_RESERVE_RATIO,
    MAX_URGENT_WAIT_S,
    TURNOVER_RATIO,
    count_reserved_slots,
)
from comfreywind.entry.team_queue import TeamQueue

STEADY = settings(derandomize=True, max_examples=200, deadline=None)
TOLERANCE = 1e-6

names = st.text('abcdef', min_size=1, max_size=3)
claims = st.dictionaries(
    names,
    st.builds(ShareClaim, st.floats(0.1, 100), st.integers(0, 500)),
    max_size=12,
)
loads = st.builds(
    TeamLoad,
    running=st.integers(0, 20),
    waiting=st.integers(0, 50),
    ready=st.integers(0, 50),
    urgent_running=st.integers(0, 3),
    urgent_ready=st.integers(0, 3),
)
teams = ('greedy', 'notices', 'rosters')
entry_loads = st.dictionaries(
    names, st.dictionaries(st.sampled_from(teams), loads), min_size=1, max_size=6
)
rules = st.fixed_dictionaries(
    {
        name: st.builds(TeamRules, st.just(name), st.floats(0.5, 5), st.integers(0, 60))
        for name in teams
    }
)


@STEADY
@given(st.integers(0, 2000), claims)
def test_fair_shares(capacity: int, claimed: dict[str, ShareClaim]) -> None:
    """No share exceeds its limit, no capacity stays idle, and no claimant is worse off."""
    shares = compute_fair_shares(capacity, claimed)
    total_limit = sum(claim.limit for claim in claimed.values())
    assert math.isclose(sum(shares.values()), min(capacity, total_limit), abs_tol=TOLERANCE)
    levels = {name: shares[name] / claimed[name].weight for name in claimed}
    for name, claim in claimed.items():
        assert -TOLERANCE <= shares[name] <= claim.limit + TOLERANCE
        if shares[name] < claim.limit - TOLERANCE:
            assert levels[name] >= max(levels.values()) - TOLERANCE


@STEADY
@given(entry_loads, rules, st.integers(0, 100), st.integers(0, 10_000))
def test_plans_of_all_entries_fit_together(
    all_loads: dict[str, dict[str, TeamLoad]],
    team_rules: dict[str, TeamRules],
    capacity: int,
    second: int,
) -> None:
    """The entries together must not plan more than the pool or a ceiling, nor leave slots idle."""
    offset = compute_rounding_offset(second)
    plans = {
        entry: allocate_slots(entry, all_loads, team_rules, capacity, offset) for entry in all_loads
    }
    demands = {
        team: sum(entry[team].demand for entry in all_loads.values() if team in entry)
        for team in teams
    }
    usable = sum(min(demands[team], team_rules[team].ceiling_units) for team in teams)
    for team in teams:
        quota = sum(plan.quotas.get(team, 0) for plan in plans.values())
        assert quota <= min(demands[team], team_rules[team].ceiling_units) + TOLERANCE
    planned = sum(plan.slots for plan in plans.values())
    assert planned == min(capacity, usable)
    assert len({tuple(sorted(plan.entitlements.items())) for plan in plans.values()}) == 1


@STEADY
@given(st.dictionaries(names, st.floats(0, 50), min_size=1, max_size=9))
def test_rounding_is_fair_over_time(quotas: dict[str, float]) -> None:
    """An entry's fraction of a slot must not always be rounded down."""
    steps = 500
    rounded = [round_to_slots(quotas, compute_rounding_offset(second)) for second in range(steps)]
    for name, quota in quotas.items():
        mean = sum(slots[name] for slots in rounded) / steps
        assert abs(mean - quota) < 0.03
        assert all(abs(slots[name] - quota) < 1 + TOLERANCE for slots in rounded)


@STEADY
@given(
    st.dictionaries(names, st.tuples(st.floats(0.1, 10), st.floats(0.01, 2)), min_size=1),
    st.integers(200, 600),
)
def test_service_follows_quotas(plans: dict[str, tuple[float, float]], starts: int) -> None:
    """The order of starts must not favour teams with long or with short runs."""
    queues = {name: TeamQueue(name) for name in plans}
    served_s = dict.fromkeys(plans, 0.0)
    for _ in range(starts):
        team = choose_team(queues.values())
        assert team is not None
        quota, run_s = plans[team.team]
        served_s[team.team] += run_s
        team.virtual_time_s = advance_virtual_time(team.virtual_time_s, run_s, quota)
    levels = [served_s[name] / quota for name, (quota, _) in plans.items()]
    longest_step = max(run_s / quota for quota, run_s in plans.values())
    assert max(levels) - min(levels) <= longest_step + TOLERANCE


@STEADY
@given(
    st.builds(
        PoolCapacity,
        running=st.integers(0, 40),
        quota_slots=st.integers(0, 40),
        free_slots=st.integers(0, 40),
        reserved_slots=st.integers(0, 5),
        urgent_ready_at_peers=st.integers(0, 5),
        peers_below_quota=st.booleans(),
    )
)
def test_capacity_rule(pool: PoolCapacity) -> None:
    """An entry must not use slots of peers or of urgent work, nor wait while it may use one."""
    rule = decide_capacity_rule(pool, urgent=False)
    assert decide_capacity_rule(pool, urgent=True) is CapacityRule.ANY
    if pool.urgent_ready_at_peers >= max(1, pool.free_slots):
        assert rule is CapacityRule.NONE
    elif pool.running < pool.quota_slots:
        assert rule is CapacityRule.ANY
    elif pool.peers_below_quota or pool.free_slots <= pool.reserved_slots:
        assert rule is CapacityRule.NONE
    else:
        assert rule is CapacityRule.KNOWN_FREE_CAPACITY


@STEADY
@given(st.integers(0, 2000), st.floats(0.001, 1000))
def test_urgent_reserve(slots: int, mean_run_s: float) -> None:
    """Slots must be reserved if turnover is too slow, but not more than the highest ratio."""
    reserved = count_reserved_slots(slots, mean_run_s)
    assert 0 <= reserved <= max(1, slots * MAX_RESERVE_RATIO)
    if mean_run_s <= MAX_URGENT_WAIT_S * TURNOVER_RATIO:
        assert reserved == 0
    elif slots:
        assert reserved >= min(2, max(1, int(slots * MAX_RESERVE_RATIO)))
    assert count_reserved_slots(slots, mean_run_s * 2) >= reserved


@STEADY
@given(st.lists(st.floats(0.01, 100), min_size=1, max_size=50), st.integers(1, 100))
def test_estimates(runs_s: list[float], ahead: int) -> None:
    """No request is refused without enough samples, and estimates stay in the measured range."""
    service = ServiceTime()
    assert is_expected_to_meet_deadline(service, 0, 0.001)
    for run_s in runs_s:
        service = add_sample(service, run_s)
    assert min(runs_s) - TOLERANCE <= service.mean_s <= max(runs_s) + TOLERANCE
    wait_s = estimate_wait_s(service, ahead, 4)
    if not service.trusted:
        assert wait_s == 0
        return
    assert math.isclose(wait_s, service.mean_s * ahead / 4)
    longest_s = wait_s * WAIT_MARGIN + service.mean_s + service.deviation_s
    assert is_expected_to_meet_deadline(service, wait_s, longest_s + TOLERANCE)
    assert not is_expected_to_meet_deadline(service, wait_s, longest_s - 2 * TOLERANCE)
    assert could_meet_deadline(service, service.mean_s)
    assert not could_meet_deadline(service, service.mean_s - 2 * service.deviation_s - TOLERANCE)


@STEADY
@given(st.integers(0, 40), st.sets(st.integers(0, 40)), st.integers(0, 1000))
def test_target_choice(count: int, excluded: set[int], seed: int) -> None:
    """An excluded target is never chosen, and some target is chosen if one is allowed."""
    target_names = [str(number) for number in range(count)]
    allowed = [name for name in target_names if int(name) not in excluded]
    chosen = choose_target(target_names, int, allowed.__contains__, random.Random(seed))
    assert (chosen in allowed) if allowed else chosen is None


def test_two_choices_avoid_the_most_loaded() -> None:
    """The most loaded of three targets is never the better of two random ones."""
    generator = random.Random(1)
    chosen = [choose_target(['1', '2', '3'], int, bool, generator) for _ in range(300)]
    assert '3' not in chosen
    assert chosen.count('1') > chosen.count('2') > 0
