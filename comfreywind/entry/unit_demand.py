"""Teams that wait for units of their ceilings."""

from collections import Counter

from comfreywind.entry.unit_source import UnitSource


class UnitDemand:
    """Knows in which pools a team lacks a unit and tells the source how many requests wait."""

    def __init__(self, units: UnitSource) -> None:
        """Start with no demand."""
        self._units = units
        self._waiting: Counter[str] = Counter()
        # The pools of a team are in the order in which they began to lack a unit.
        self._pools_by_team: dict[str, dict[str, None]] = {}

    def add_waiting(self, team: str, change: int) -> None:
        """Count requests that began or ceased to wait."""
        self._waiting[team] += change
        if team in self._pools_by_team:
            self._units.report_waiting(team, self._waiting[team])

    def add_pool(self, team: str, pool: str) -> None:
        """Note that no unit could be taken for the team in this pool."""
        self._pools_by_team.setdefault(team, {})[pool] = None
        self._units.report_waiting(team, self._waiting[team])

    def pop_pools(self, team: str) -> list[str]:
        """Return the pools in which the team lacked a unit, and forget them."""
        pools = self._pools_by_team.pop(team, None)
        return list(pools) if pools else []

    def settle(self, team: str) -> None:
        """Tell the source that the team waits for no unit, if that is so."""
        if team not in self._pools_by_team:
            self._units.report_waiting(team, 0)

    def list_lacking(self) -> list[str]:
        """Return the teams that lack a unit."""
        return list(self._pools_by_team)
