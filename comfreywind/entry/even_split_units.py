"""A fixed, even split of the ceilings; the baseline of the benchmarks."""

from collections import Counter

from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.unit_source import WakeTeam


class EvenSplitUnits:
    """Gives each of a fixed number of entries an equal share of every ceiling."""

    def __init__(self, rules_view: RulesView, entries_count: int) -> None:
        """Divide every ceiling by `entries_count`, the number of entries in the settings."""
        self._rules_view = rules_view
        self._entries_count = entries_count
        self._used: Counter[str] = Counter()

    def try_acquire_unit(self, team: str) -> bool:
        """Acquire one unit of this entry's share if one is free."""
        rules = self._rules_view.rules
        if rules is None or team not in rules.teams:
            return False
        if self._used[team] >= rules.teams[team].ceiling_units // self._entries_count:
            return False
        self._used[team] += 1
        return True

    def release_unit(self, team: str) -> None:
        """Release a unit of this entry's share."""
        self._used[team] -= 1

    def report_waiting(self, team: str, waiting_count: int) -> None:
        """Ignore the demand; the split is fixed."""

    def read_session_left_s(self) -> float:
        """Return how long the rules stay fresh, since this policy has no session that expires."""
        return self._rules_view.read_fresh_left_s()

    def subscribe(self, wake_team: WakeTeam) -> None:
        """Ignore the function; units become free only through `release_unit`."""

    async def run(self) -> None:
        """Do nothing; the split is fixed."""

    async def leave(self) -> None:
        """Do nothing; the share of an entry that leaves is not redistributed."""
