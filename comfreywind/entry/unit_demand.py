"""Demand of the teams for units of their ceilings."""

from collections import Counter

from comfreywind.entry.unit_source import UnitSource


class UnitDemand:
    """Tracks the pools in which teams lack units and reports waiting requests to the source."""

    def __init__(self, units: UnitSource) -> None:
        """Start with no demand."""
        self._units = units
        self._waiting: Counter[str] = Counter()
        # Ordered: the pool of a team that has lacked a unit longest comes first.
        self._pools_by_team: dict[str, dict[str, None]] = {}

    def add_waiting(self, team: str, change: int) -> None:
        """Change the number of waiting requests of the team by `change`."""
        self._waiting[team] += change
        if team in self._pools_by_team:
            self._units.report_waiting(team, self._waiting[team])

    def add_pool(self, team: str, pool: str) -> None:
        """Record that the team lacks a unit in this pool."""
        self._pools_by_team.setdefault(team, {})[pool] = None
        self._units.report_waiting(team, self._waiting[team])

    def pop_pools(self, team: str) -> list[str]:
        """Remove and return the pools in which the team lacked a unit."""
        pools = self._pools_by_team.pop(team, None)
        return list(pools) if pools else []

    def clear_if_satisfied(self, team: str) -> None:
        """Report a demand of 0 to the source unless the team still lacks a unit."""
        if team not in self._pools_by_team:
            self._units.report_waiting(team, 0)

    def list_lacking(self) -> list[str]:
        """Return the teams that lack a unit."""
        return list(self._pools_by_team)
