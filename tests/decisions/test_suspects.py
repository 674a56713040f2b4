"""When a suspect is cleared, and how many targets suspects may have to themselves."""

import pytest

from comfreywind.decisions.scheduling.crash_blame import BLAME_WINDOW_S, StartEvidence
from comfreywind.decisions.scheduling.suspects import compute_isolation_limit, judge_report


@pytest.mark.parametrize(
    ('percent', 'observed_s', 'evidence'),
    [
        (0, 0, StartEvidence.ACKNOWLEDGED),
        (0, BLAME_WINDOW_S - 0.01, StartEvidence.ACKNOWLEDGED),
        (0, BLAME_WINDOW_S, StartEvidence.PROGRESS),
        (1, 0, StartEvidence.PROGRESS),
    ],
)
def test_judge_report(percent: int, observed_s: float, evidence: StartEvidence) -> None:
    """A suspect must not hold its target until the first percent of a task of an hour (case 9)."""
    assert judge_report(percent, observed_s) is evidence


@pytest.mark.parametrize(('targets', 'limit'), [(0, 1), (1, 1), (2, 1), (3, 1), (7, 3)])
def test_isolation_limit(targets: int, limit: int) -> None:
    """Suspects must neither take the whole pool nor wait for ever in a pool of one target."""
    assert compute_isolation_limit(targets) == limit
