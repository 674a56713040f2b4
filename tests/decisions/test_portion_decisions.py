"""Tests of single decisions of the portion protocol; `tests/model` checks them in combination."""

import pytest

from comfreywind.decisions.portions.guard import SessionState
from comfreywind.decisions.portions.guard_step import apply_session_event
from comfreywind.decisions.portions.ledger import Ledger
from comfreywind.decisions.portions.ledger_changes import is_blocked
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.reclaim import Reclaim
from comfreywind.decisions.portions.row_changes import (
    allocate_free_units,
    record_flow,
    set_ceiling,
    settle_holder,
)
from comfreywind.decisions.portions.session_effects import GrantPromise, RefusePromise
from comfreywind.decisions.portions.session_events import (
    FenceRequested,
    PromiseRequested,
    RenewalObserved,
)
from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.decisions.portions.unit_shares import UnitDemand, decide_transfer

ROW = PortionRow(10, 1, recorded=(('a@1', 4), ('b@1', 2)))
SESSION_STATE = SessionState('a@1', SessionTiming(4, 0.01), silent_until_s=0, valid_until_s=100)
TRANSFER_CASES = (
    ('idle units go to who asks', UnitDemand(8, 0), UnitDemand(0, 5), 5, False, 5),
    ('no more than is spare', UnitDemand(8, 6), UnitDemand(8, 9), 5, False, 2),
    ('in proportion to demand', UnitDemand(12, 30), UnitDemand(0, 10), 10, False, 3),
    ('the rounded part stays', UnitDemand(3, 10), UnitDemand(2, 10), 8, False, 0),
    ('the last unit stays', UnitDemand(1, 10), UnitDemand(0, 10), 9, False, 0),
    ('until the turn is over', UnitDemand(1, 10), UnitDemand(0, 10), 9, True, 1),
    ('nothing held, nothing given', UnitDemand(0, 5), UnitDemand(0, 10), 9, True, 0),
)
ALLOCATION_CASES = ((1, 1), (2, 2), (9, 2))


@pytest.mark.parametrize(
    ('case', 'own', 'asking', 'wanted', 'turn_over', 'transfer'), TRANSFER_CASES
)
def test_transfer_decisions(
    case: str, own: UnitDemand, asking: UnitDemand, wanted: int, turn_over: bool, transfer: int
) -> None:
    """Units must not move back and forth, and no entry must be left without any for good."""
    assert decide_transfer(own, asking, wanted, turn_over) == transfer, case


@pytest.mark.parametrize(('wanted', 'taken'), ALLOCATION_CASES)
def test_takes_half_of_the_free_units(wanted: int, taken: int) -> None:
    """The first entry must not get all free units, and none must get more than it wants."""
    row = allocate_free_units(ROW, 'c@1', wanted)
    assert dict(row.recorded)['c@1'] == taken
    assert allocate_free_units(row, 'c@1', 0) == row


def test_recorded_twice() -> None:
    """A flow must count once, although the giver and the receiver both record it."""
    row = record_flow(ROW, 'a@1>b@1', 3)
    assert record_flow(row, 'a@1>b@1', 3) == row
    assert row.recorded == (('a@1', 1), ('b@1', 5))


def test_settled_party() -> None:
    """Units of a settled giver are being reclaimed, so they must not count for the receiver too."""
    row = settle_holder(ROW, 'a@1', (('a@1>b@1', 1),), wait_s=12)
    assert row.reclaiming == (Reclaim('a@1', 3, 12),)
    assert row.recorded == (('b@1', 3),)
    assert record_flow(row, 'a@1>b@1', 4) == row
    assert row.free_units == ROW.free_units


def test_ceiling_of_an_older_bundle() -> None:
    """An entry that still has an older bundle must not raise a lowered ceiling again."""
    lowered = set_ceiling(ROW, 5, 3)
    assert set_ceiling(lowered, 10, 2) == lowered
    assert lowered.free_units == -1


@pytest.mark.parametrize(
    ('row', 'ceiling', 'version', 'blocked'),
    [
        (ROW, 10, 1, False),
        (ROW, 12, 2, False),
        (ROW, 8, 2, True),
        (set_ceiling(ROW, 8, 2), 8, 2, False),
        (set_ceiling(ROW, 5, 2), 10, 1, True),
    ],
)
def test_blocked_after_lowering(row: PortionRow, ceiling: int, version: int, blocked: bool) -> None:
    """No work must start while an out-of-date row may hide that the lowered ceiling is exceeded."""
    assert is_blocked(Ledger('a@1', row, 1), ceiling, version) is blocked


def test_agreement_and_promise_exclude_each_other() -> None:
    """A member must not agree to fence a holder while its promise lets the holder work."""
    asked = PromiseRequested('h@1', renewal_number=7, now_s=10, is_member=True)
    promised, effects = apply_session_event(asked, SESSION_STATE)
    assert effects == (GrantPromise('h@1'),)
    assert apply_session_event(FenceRequested('h@1', 7, 14), promised) == (promised, ())
    agreed, effects = apply_session_event(FenceRequested('h@1', 7, 14.05), promised)
    assert effects
    later = PromiseRequested('h@1', renewal_number=7, now_s=15, is_member=True)
    assert apply_session_event(later, agreed)[1] == (RefusePromise('h@1'),)
    renewed = apply_session_event(RenewalObserved('h@1', 8), agreed)[0]
    assert apply_session_event(later, renewed)[1] == (GrantPromise('h@1'),)


@pytest.mark.parametrize(('now_s', 'is_member'), [(100, True), (50, False)])
def test_promises_refused(now_s: float, is_member: bool) -> None:
    """No promise must be given without a valid session, or to a holder that may be fenced."""
    asked = PromiseRequested('h@1', 7, now_s, is_member)
    assert apply_session_event(asked, SESSION_STATE)[1] == (RefusePromise('h@1'),)
