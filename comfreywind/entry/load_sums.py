"""Aggregates the load reports of the peers."""

from collections import Counter
from collections.abc import Mapping

from comfreywind.decisions.team_load import TeamLoad
from comfreywind.peers.messages.load_report import LoadReport


def sum_outstanding_by_pool(
    reports: Mapping[str, LoadReport], pool_by_target: Mapping[str, str]
) -> dict[str, dict[str, int]]:
    """Return the outstanding requests of all peers by pool and target; an unknown pool is ''."""
    totals: Counter[str] = Counter()
    for report in reports.values():
        totals.update(report.outstanding)
    totals_by_pool: dict[str, dict[str, int]] = {}
    for name, count in totals.items():
        totals_by_pool.setdefault(pool_by_target.get(name, ''), {})[name] = count
    return totals_by_pool


def parse_peer_loads(
    reports: Mapping[str, LoadReport], pool: str
) -> dict[str, dict[str, TeamLoad]]:
    """Return the load of the teams in the pool, by peer and team."""
    return {
        peer: {team: TeamLoad(*counts) for team, counts in report.loads.get(pool, {}).items()}
        for peer, report in reports.items()
    }
