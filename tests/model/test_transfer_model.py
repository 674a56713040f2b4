"""Model check of transfers, recording and reclaiming."""

import pytest

from tests.model.report import check_all_states, check_goal, find_counterexample
from tests.model.transfer_model import Removed, make_transfer_protocol


def test_safety() -> None:
    """Guards against a unit that two entries count as theirs, under all interleavings and faults."""
    holding = check_all_states(make_transfer_protocol(ceiling=1, trade_limit=1))
    assert set(holding.values()) == {True}


def test_liveness() -> None:
    """Guards against a unit that is lost between giver, receiver and row."""
    assert check_goal(make_transfer_protocol(ceiling=1, trade_limit=1)) is True


@pytest.mark.parametrize('removed', [item for item in Removed if item is not Removed.NOTHING])
def test_each_protection_is_needed(removed: Removed) -> None:
    """Guards against a model that can't fail: without any one protection, a unit counts twice."""
    assert find_counterexample(make_transfer_protocol(1, 1, removed))
