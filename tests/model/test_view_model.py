"""The decisions on versions and freshness, checked in all orders of events."""

import pytest
from minicheck import check_safety

from tests.model.view_model import make_model

STATES_LIMIT = 400_000
# The shortest way to each fault is within the first states of the breadth-first search.
FAULT_STATES_LIMIT = 60_000
BROKEN_RULES = (
    ('arrival-time', True, 'accepted version in force'),
    ('arrival-time', False, 'cut off fails closed'),
    ('attempt-age', True, 'accepted version in force'),
    ('own-vote-enough', True, 'accepted version in force'),
    ('own-vote-enough', False, 'cut off fails closed'),
    ('always-fresh', True, 'accepted version in force'),
    ('always-fresh', False, 'cut off fails closed'),
    ('any-offer', True, 'never reverts'),
)


@pytest.mark.parametrize('with_roll_out', [True, False], ids=['roll-out', 'contacts'])
def test_rules_hold(with_roll_out: bool) -> None:
    """Guards against an order of events in which an entry serves an older or a stale view."""
    result = check_safety(make_model('', with_roll_out), STATES_LIMIT)
    assert result['exhaustive'], result.get('incomplete_reason')
    assert all(found['holds'] is True for found in result['properties'].values())


@pytest.mark.parametrize(('broken_rule', 'with_roll_out', 'invariant'), BROKEN_RULES)
def test_broken_rule_is_found(broken_rule: str, with_roll_out: bool, invariant: str) -> None:
    """Guards against a model that can't find the fault which a rule prevents."""
    model = make_model(broken_rule, with_roll_out)
    found = check_safety(model, FAULT_STATES_LIMIT)['properties'][invariant]
    assert found['holds'] is False
