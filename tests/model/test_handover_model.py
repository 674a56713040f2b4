"""Model check of the change of the holder with the decision functions that production calls."""

import pytest

from tests.model.handover_model import Removed, make_handover_protocol
from tests.model.report import check_all_states, check_goal, find_counterexample

PROTECTIONS = [each for each in Removed if each is not Removed.NOTHING]


def test_safety() -> None:
    """Guards against a task that runs twice under late orders, frozen holders and lapsed leases."""
    holding = check_all_states(make_handover_protocol())
    assert set(holding.values()) == {True}


def test_liveness() -> None:
    """Guards against a state from which a task that was accepted is never done."""
    assert check_goal(make_handover_protocol()) is True


@pytest.mark.parametrize('removed', PROTECTIONS, ids=lambda removed: removed.name)
def test_each_protection_is_needed(removed: Removed) -> None:
    """Guards against a model that can't fail: without any one protection a task runs twice."""
    assert find_counterexample(make_handover_protocol(removed))
