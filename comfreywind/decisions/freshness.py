"""Decides whether an entry may serve from its view while it can't read the store (design, 5.5)."""

from collections.abc import Iterable

from comfreywind.decisions.own_view import OwnView
from comfreywind.decisions.peer_report import PeerReport


def is_fresh(now_s: float, confirmed_s: float | None, fresh_s: float) -> bool:
    """Return whether an entry may still serve from a view that was complete at `confirmed_s`."""
    return confirmed_s is not None and now_s - confirmed_s <= fresh_s


def count_needed_reports(members_count: int, cold: bool) -> int:
    """Return how many reports must confirm the view; `members_count` includes this entry.

    An entry that has had a fresh view counts its own report and needs a majority of the members. A
    cold entry has no report of its own and needs a majority of the other members. At least one peer
    is always needed, so that an entry that reaches nobody refuses requests.
    """
    if cold:
        return (members_count - 1) // 2 + 1
    return max(2, members_count // 2 + 1)


def compute_confirmed_s(
    own: OwnView, reports: Iterable[PeerReport], needed_count: int, oldest_s: float
) -> float | None:
    """Return the time up to which enough reports confirm that the own view is complete, or None.

    Reports from before `oldest_s` and reports of members without rules don't count. If a recent
    report shows something that this entry lacks, nothing is confirmed until that was fetched.
    """
    recent = [
        report
        for report in reports
        if report.as_of_s >= oldest_s and report.summary.bundle_version > 0
    ]
    if own.summary.bundle_version < own.accepted_version or len(recent) < needed_count:
        return None
    if not all(own.covers(report.summary) for report in recent):
        return None
    return sorted((report.as_of_s for report in recent), reverse=True)[needed_count - 1]


def list_view_sources(own: OwnView, reports: Iterable[PeerReport]) -> list[str]:
    """Return the peers whose views hold something that this entry lacks, newest bundle first."""
    ahead = [report for report in reports if not own.covers(report.summary)]
    ahead.sort(key=lambda report: (-report.summary.bundle_version, report.name))
    return [report.name for report in ahead if report.summary.bundle_version > 0]
