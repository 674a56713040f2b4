"""Model check of the claims with the decision functions that production calls."""

import pytest
from minicheck import check_safety

from tests.model.claims_model import BROKEN_RULES, ClaimRules, make_protocol

PROPERTY = 'runs at most once'
STATES_LIMIT = 400_000


def test_runs_at_most_once() -> None:
    """Guards against a second run under lost and late writes, replaced entries and repeats."""
    result = check_safety(make_protocol(3, ClaimRules()), STATES_LIMIT)
    assert result['exhaustive'], result
    assert result['properties'][PROPERTY]['holds'] is True
    assert result['reachable_states'] > 1000


@pytest.mark.parametrize('broken', BROKEN_RULES)
def test_broken_rules_are_found(broken: str) -> None:
    """Guards against a model that can't see a double run."""
    result = check_safety(make_protocol(2, BROKEN_RULES[broken]), STATES_LIMIT)
    assert result['properties'][PROPERTY]['holds'] is False
