"""Tests of when a draining VM may be stopped, and of the control lease of a pool."""

from collections import Counter

import pytest

from comfreywind.decisions.pools.drain import Drain, MemberReport, is_drained
from comfreywind.decisions.pools.holder import LeaseStep, LeaseView, choose_holder, decide_lease

DONE_REPORT = MemberReport('a', 7, 0)
DRAIN_CASES = (
    # Reports of other members than the one that is done, confirmed_s, unreported_until_s, whether
    # the VM is drained at 100 s.
    ((), 90.0, 0, True),
    ((), None, 0, False),
    ((MemberReport('b', 6, 0),), 90.0, 0, False),
    ((MemberReport('b', None, None),), 90.0, 0, False),
    ((MemberReport('b', 7, 1),), 90.0, 0, False),
    ((MemberReport('b', 7, 1),), 10.0, 0, False),
    ((MemberReport('b', 7, None),), 71.0, 0, False),
    ((MemberReport('b', 7, None),), 70.0, 0, True),
    ((), 10.0, 101.0, False),
)
LEASE_CASES = (
    # held_by_other, held_here, unchanged_s, preferred_here, other_preferred_s, step
    (False, False, 0, True, 0, LeaseStep.TAKE),
    (False, False, 7, False, 9, LeaseStep.NOTHING),
    (False, False, 8, False, 9, LeaseStep.TAKE),
    (True, False, 7, True, 0, LeaseStep.NOTHING),
    (True, False, 8, True, 0, LeaseStep.TAKE),
    (True, False, 15, False, 9, LeaseStep.NOTHING),
    (True, False, 16, False, 9, LeaseStep.TAKE),
    (False, True, 99, True, 0, LeaseStep.KEEP),
    (False, True, 1, False, 4, LeaseStep.KEEP),
    (False, True, 1, False, 5, LeaseStep.RELEASE),
)


@pytest.mark.parametrize(('others', 'confirmed_s', 'unreported_until_s', 'expected'), DRAIN_CASES)
def test_drained(
    others: tuple[MemberReport, ...],
    confirmed_s: float | None,
    unreported_until_s: float,
    expected: bool,
) -> None:
    """A VM is stopped too early if a member may still send work there or still runs some."""
    drain = Drain(7, confirmed_s, unreported_until_s, run_limit_s=30)
    assert is_drained(drain, (DONE_REPORT, *others), 100) == expected


@pytest.mark.parametrize(
    ('by_other', 'here', 'unchanged_s', 'preferred', 'other_s', 'step'), LEASE_CASES
)
def test_lease(
    by_other: bool, here: bool, unchanged_s: float, preferred: bool, other_s: float, step: LeaseStep
) -> None:
    """Wrong lease steps leave a pool without a holder, or move its lease back and forth."""
    view = LeaseView(by_other, here, unchanged_s, preferred, other_s)
    assert decide_lease(view, ttl_s=8, handover_s=5) == step


def test_holders_are_spread() -> None:
    """Pools must not pile up on one entry, nor move when an unrelated entry leaves."""
    pools = [f'pool-{number}' for number in range(56)]
    members = [f'entry-{number}' for number in range(8)]
    holders = {pool: choose_holder(pool, members) for pool in pools}
    assert max(Counter(holders.values()).values()) <= 14
    for pool, holder in holders.items():
        if holder != 'entry-3':
            assert choose_holder(pool, [name for name in members if name != 'entry-3']) == holder
