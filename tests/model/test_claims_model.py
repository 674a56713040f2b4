"""Model check of the claims; the model calls the decision functions of production."""

import pytest
from minicheck import check_safety

from tests.model.claims_model import BROKEN_RULES, ClaimRules, make_protocol

PROPERTY = 'runs at most once'
STATES_LIMIT = 400_000


def test_runs_at_most_once() -> None:
    """No request runs twice, even if writes are lost or delayed and entries are replaced."""
    result = check_safety(make_protocol(3, ClaimRules()), STATES_LIMIT)
    assert result['exhaustive'], result
    assert result['properties'][PROPERTY]['holds'] is True
    assert result['reachable_states'] > 1000


@pytest.mark.parametrize('broken', BROKEN_RULES)
def test_broken_rules_are_found(broken: str) -> None:
    """The check must find the double run that a broken rule allows."""
    result = check_safety(make_protocol(2, BROKEN_RULES[broken]), STATES_LIMIT)
    assert result['properties'][PROPERTY]['holds'] is False
