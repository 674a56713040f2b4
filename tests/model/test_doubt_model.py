"""Model check of a target in doubt, with the decisions used in production."""

import pytest
from minicheck import check_safety

from tests.model.doubt_model import Removed, make_doubt_protocol
from tests.model.report import find_counterexample

STATES_LIMIT = 400_000
PROTECTIONS = [each for each in Removed if each is not Removed.NOTHING]


# Guards against a second run of a task after crashes, late orders, cuts, takeovers and lists of VMs
# in any order (TWICE).
def test_safety() -> None:
    """A task never runs twice, and the search covers all states."""
    checked = check_safety(make_doubt_protocol(), max_states=STATES_LIMIT)
    assert checked['exhaustive']
    assert all(found['holds'] for found in checked['properties'].values())


@pytest.mark.parametrize('removed', PROTECTIONS, ids=lambda removed: removed.name)
def test_each_protection_is_needed(removed: Removed) -> None:
    """The model finds a task that runs twice when any one protection is missing.

    The first two protections are those that the two orders of the incident lacked.
    """
    assert find_counterexample(make_doubt_protocol(removed))
