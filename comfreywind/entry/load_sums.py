"""Sums over the load reports of the peers."""

from collections import Counter
from collections.abc import Mapping

from comfreywind.decisions.team_load import TeamLoad
from comfreywind.peers.messages.load_report import LoadReport


def sum_outstanding_by_pool(
    reports: Mapping[str, LoadReport], pool_by_target: Mapping[str, str]
) -> dict[str, dict[str, int]]:
    """Return the requests of all peers at each target, by pool."""
    totals: Counter[str] = Counter()
    for report in reports.values():
        totals.update(report.outstanding)
    groups: dict[str, dict[str, int]] = {}
    for name, count in totals.items():
        groups.setdefault(pool_by_target.get(name, ''), {})[name] = count
    return groups


def parse_peer_loads(
    reports: Mapping[str, LoadReport], pool: str
) -> dict[str, dict[str, TeamLoad]]:
    """Return the load of each team in the pool by peer."""
    return {
        peer: {team: TeamLoad(*counts) for team, counts in report.loads.get(pool, {}).items()}
        for peer, report in reports.items()
    }
