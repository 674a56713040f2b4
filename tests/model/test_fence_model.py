"""Model check of sessions, promises and fences."""

import pytest

from tests.model.fence_model import Removed, Setup, make_fence_protocol
from tests.model.report import check_all_states, check_goal, find_counterexample

JOINER = Setup(with_joiner=True, renewals_limit=1)
JOINER_PROTECTIONS = (Removed.JOINER_READ, Removed.JOINER_SILENCE, Removed.VIEW_CONDITION)
PROTECTIONS = [
    Setup(removed) if removed not in JOINER_PROTECTIONS else JOINER._replace(removed=removed)
    for removed in Removed
    if removed is not Removed.NOTHING
]


def test_safety() -> None:
    """No fence overlaps a valid session, under all interleavings and faults."""
    holding = check_all_states(make_fence_protocol(ttl=2))
    assert set(holding.values()) == {True}


def test_safety_with_new_member() -> None:
    """A new member never extends the session of a holder that others have fenced."""
    holding = check_all_states(make_fence_protocol(ttl=1, setup=JOINER))
    assert set(holding.values()) == {True}


def test_liveness() -> None:
    """From every state, the unit of a lost holder can become usable again."""
    assert check_goal(make_fence_protocol(ttl=1)) is True


@pytest.mark.parametrize('setup', PROTECTIONS, ids=lambda setup: setup.removed.name)
def test_each_protection_is_needed(setup: Setup) -> None:
    """Without any one of the protections, the check must find that the ceiling is exceeded."""
    assert find_counterexample(make_fence_protocol(ttl=1, setup=setup))
