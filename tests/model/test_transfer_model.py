"""Model check of transfers of units between entries, and of recording and reclaiming them."""

import pytest

from tests.model.report import check_all_states, check_goal, find_counterexample
from tests.model.transfer_model import Removed, make_transfer_protocol


def test_safety() -> None:
    """Two entries never count the same unit as theirs, under all interleavings and faults."""
    holding = check_all_states(make_transfer_protocol(ceiling=1, trade_limit=1))
    assert set(holding.values()) == {True}


def test_liveness() -> None:
    """No unit is lost for good between the giver, the receiver and the row."""
    assert check_goal(make_transfer_protocol(ceiling=1, trade_limit=1)) is True


@pytest.mark.parametrize('removed', [item for item in Removed if item is not Removed.NOTHING])
def test_each_protection_is_needed(removed: Removed) -> None:
    """Without any one of the protections, the check must find a unit that counts twice."""
    assert find_counterexample(make_transfer_protocol(1, 1, removed))
