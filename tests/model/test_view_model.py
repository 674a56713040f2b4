"""Model check of the decisions on versions and freshness, in all orders of events."""

import pytest
from minicheck import check_safety

from tests.model.view_model import make_model

STATES_LIMIT = 400_000
# The breadth-first search finds the shortest violation of each broken rule within this many states.
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
    """In no order of events does an entry serve from a reverted or a stale view."""
    result = check_safety(make_model('', with_roll_out), STATES_LIMIT)
    assert result['exhaustive'], result.get('incomplete_reason')
    assert all(found['holds'] is True for found in result['properties'].values())


@pytest.mark.parametrize(('broken_rule', 'with_roll_out', 'invariant'), BROKEN_RULES)
def test_broken_rule_is_found(broken_rule: str, with_roll_out: bool, invariant: str) -> None:
    """With a rule broken on purpose, the check must find the fault that the rule prevents."""
    model = make_model(broken_rule, with_roll_out)
    found = check_safety(model, FAULT_STATES_LIMIT)['properties'][invariant]
    assert found['holds'] is False
