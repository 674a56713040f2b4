"""Tests of the confirmation of a view, of its digest and of writes whose reply was lost."""

import pytest

from comfreywind.decisions.freshness import (
    compute_confirmed_s,
    count_needed_reports,
    list_view_sources,
)
from comfreywind.decisions.own_view import OwnView
from comfreywind.decisions.peer_report import PeerReport
from comfreywind.decisions.resolve_write import WriteOutcome, resolve_write
from comfreywind.decisions.row_digest import update_digest
from comfreywind.decisions.view_summary import ViewSummary

OWN = OwnView(ViewSummary(2, 10, 20), 2, frozenset({11}), frozenset({21}))
SAME = ViewSummary(2, 10, 20)
NEEDED_CASES = (
    (1, False, 2),
    (2, False, 2),
    (3, False, 2),
    (4, False, 3),
    (9, False, 5),
    (1, True, 1),
    (3, True, 2),
    (9, True, 5),
)
CONFIRMED_CASES = (
    ('enough', [(8, SAME), (9, SAME)], 8),
    ('older view', [(8, SAME), (9, ViewSummary(1, 10, 20))], 8),
    ('merged rows', [(8, SAME), (9, ViewSummary(2, 11, 21))], 8),
    ('too few', [(9, SAME)], None),
    ('too old', [(4, SAME), (9, SAME)], None),
    ('peer without rules', [(9, ViewSummary(0, 10, 20)), (9, SAME)], None),
    ('newer version', [(9, SAME), (9, SAME), (9, ViewSummary(3, 10, 20))], None),
    ('unknown keys', [(9, SAME), (9, SAME), (9, ViewSummary(2, 12, 20))], None),
    ('unknown VM rows', [(9, SAME), (9, SAME), (9, ViewSummary(2, 10, 22))], None),
    ('old report of a newer version', [(8, SAME), (9, SAME), (4, ViewSummary(3, 10, 20))], 8),
)
WRITE_CASES = (
    (3, 4, 'own', WriteOutcome.APPLIED),
    (3, 3, 'other', WriteOutcome.NOT_APPLIED),
    (0, 0, '', WriteOutcome.NOT_APPLIED),
    (3, 4, 'other', WriteOutcome.REFUSED),
    (3, 5, 'other', WriteOutcome.UNKNOWN),
    (3, 0, '', WriteOutcome.UNKNOWN),
)


@pytest.mark.parametrize(('members_count', 'cold', 'needed_count'), NEEDED_CASES)
def test_needed_reports(members_count: int, cold: bool, needed_count: int) -> None:
    """With too few reports, an entry would serve by the word of a minority or only its own."""
    assert count_needed_reports(members_count, cold) == needed_count


@pytest.mark.parametrize(('case', 'reports', 'confirmed_s'), CONFIRMED_CASES)
def test_confirmed(case: str, reports: list[tuple[float, ViewSummary]], confirmed_s: float) -> None:
    """A view must not be confirmed by too few or too old reports, or while a newer one exists."""
    peer_reports = [PeerReport('peer', as_of_s, summary) for as_of_s, summary in reports]
    assert compute_confirmed_s(OWN, peer_reports, 2, oldest_s=5) == confirmed_s, case


def test_content_of_accepted_version_missing() -> None:
    """The old version must not be served while a newer one is accepted but could not be read."""
    own = OwnView(SAME, 3, frozenset(), frozenset())
    assert compute_confirmed_s(own, [PeerReport('a', 9, SAME)] * 3, 2, oldest_s=5) is None


def test_sources() -> None:
    """Only peers with something new are asked, and the one with the newest bundle first."""
    summaries = {
        'a': SAME,
        'b': ViewSummary(2, 12, 20),
        'c': ViewSummary(3, 10, 20),
        'd': ViewSummary(0, 0, 0),
    }
    reports = [PeerReport(name, 9, summary) for name, summary in summaries.items()]
    assert list_view_sources(OWN, reports) == ['c', 'b']


def test_digest_ignores_order() -> None:
    """Digests must be equal for equal rows in any order, and differ for different rows."""
    first = update_digest(update_digest(0, 'a', 0, 1), 'b', 0, 7)
    second = update_digest(update_digest(update_digest(0, 'b', 0, 6), 'a', 0, 1), 'b', 6, 7)
    assert first == second
    assert first not in {update_digest(update_digest(0, 'a', 0, 7), 'b', 0, 1), 0}


@pytest.mark.parametrize(('expected', 'found', 'write_id', 'outcome'), WRITE_CASES)
def test_resolve_write(expected: int, found: int, write_id: str, outcome: WriteOutcome) -> None:
    """A write must not be reported as applied or refused unless the row proves it."""
    assert resolve_write(expected, 'own', found, write_id) is outcome
