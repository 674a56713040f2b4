"""The pure decisions of admission: shares, limits and when refused callers return."""

import random

import pytest

from comfreywind.decisions.job_admission import (
    MAX_RETRY_S,
    JobOutlook,
    choose_retry_after_s,
    compute_lowest_wait_s,
    compute_overrun_s,
)
from comfreywind.decisions.scheduling.fair_wait import (
    TeamBacklog,
    compute_fair_waits,
    list_teams_beyond_share,
)


def test_backlog_of_another_team() -> None:
    """A team within its share must not be refused because another one has sent far too much."""
    waits_s = compute_fair_waits({'large': TeamBacklog(70), 'small': TeamBacklog(1)})
    assert waits_s == {'large': 71, 'small': 2}
    assert list_teams_beyond_share(waits_s, 3) == {'large': 71}


@pytest.mark.parametrize(
    ('backlog', 'other', 'wait_s'),
    [
        (TeamBacklog(10, weight=2), TeamBacklog(10), 15),
        (TeamBacklog(10), TeamBacklog(10, weight=2), 20),
        (TeamBacklog(10, rate_limit=0.25), TeamBacklog(10), 40),
        (TeamBacklog(10, weight=0), TeamBacklog(10), 0),
    ],
    ids=['heavy', 'light', 'ceiling', 'no share'],
)
def test_weights(backlog: TeamBacklog, other: TeamBacklog, wait_s: float) -> None:
    """A team's wait follows its weight and ceiling; one without a share is never refused."""
    assert compute_fair_waits({'own': backlog, 'other': other})['own'] == wait_s


@pytest.mark.parametrize('path_s', [0, 1.5, 30])
def test_late_jobs_are_accepted(path_s: float) -> None:
    """A job that may be done within three times its objective is accepted, by any estimate."""
    objective_s = 0.6 + 1.6 * path_s
    latest_s = 3 * objective_s
    for wait_s in (0, latest_s - path_s, 1.2 * latest_s - path_s, compute_lowest_wait_s(600)):
        assert compute_overrun_s(JobOutlook(wait_s, 0, 0, path_s, objective_s)) == 0
    assert compute_overrun_s(JobOutlook(2.5 * latest_s, 0, 0, path_s, objective_s)) > 0


def test_work_since_the_figures() -> None:
    """A node must not admit any number of jobs into capacity that was free 0.5 s ago."""
    assert compute_overrun_s(JobOutlook(14, 0, 0, 0, 2)) == 0
    assert compute_overrun_s(JobOutlook(14, 1, 0, 0, 2)) > 0
    assert compute_overrun_s(JobOutlook(14, 0, 1, 0, 2)) > 0


def test_returns_are_spread() -> None:
    """A crowd that is refused at the same moment must not return at the same moment."""
    source = random.Random(7)
    returns_s = [choose_retry_after_s(8.0, source.random()) for _ in range(300)]
    assert (min(returns_s), max(returns_s)) == (9, 12)
    assert max(map(returns_s.count, returns_s)) < 120
    assert choose_retry_after_s(0.01, 0) == 1
    assert choose_retry_after_s(1000, 1) == MAX_RETRY_S
