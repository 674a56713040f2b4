"""Model check of sessions, promises and fences."""

import pytest

from tests.model.fence_model import Removed, make_fence_protocol
from tests.model.report import check_all_states, check_goal, find_counterexample


def test_safety() -> None:
    """Guards against a fence that overlaps a valid session, under all interleavings and faults."""
    holding = check_all_states(make_fence_protocol(ttl=2))
    assert set(holding.values()) == {True}


def test_liveness() -> None:
    """Guards against a state in which the unit of a lost holder stays unusable for ever."""
    assert check_goal(make_fence_protocol(ttl=1)) is True


@pytest.mark.parametrize('removed', [item for item in Removed if item is not Removed.NOTHING])
def test_each_protection_is_needed(removed: Removed) -> None:
    """Guards against a model that can't fail: without any one protection, the ceiling is exceeded."""
    assert find_counterexample(make_fence_protocol(ttl=1, removed=removed))
