"""Model check of a change of the holder, with the decision functions used in production."""

import pytest

from tests.model.handover_model import Removed, make_handover_protocol
from tests.model.report import check_all_states, check_goal, find_counterexample

PROTECTIONS = [each for each in Removed if each is not Removed.NOTHING]


def test_safety() -> None:
    """A task never runs twice, despite late orders, paused holders and lapsed leases."""
    holding = check_all_states(make_handover_protocol())
    assert set(holding.values()) == {True}


def test_liveness() -> None:
    """From each state an accepted task can still be done."""
    assert check_goal(make_handover_protocol()) is True


@pytest.mark.parametrize('removed', PROTECTIONS, ids=lambda removed: removed.name)
def test_each_protection_is_needed(removed: Removed) -> None:
    """The model finds a task that runs twice when any one protection is missing."""
    assert find_counterexample(make_handover_protocol(removed))
