"""The rules, keys and VM rows that this entry knows of, and how fresh they are."""

from collections.abc import Callable

from comfreywind.bundle.rules import Rules
from comfreywind.clock import Clock
from comfreywind.decisions.keys import TeamKey


class RulesView:
    """Holds the newest view; an older version never replaces a newer one."""

    def __init__(self, clock: Clock, fresh_s: float) -> None:
        """Start without rules."""
        self._clock = clock
        self._fresh_s = fresh_s
        self._confirmed_s: float | None = None
        self.rules: Rules | None = None
        self.keys: dict[str, TeamKey] = {}
        self.sequence = 0
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, receive_change: Callable[[], None]) -> None:
        """Call the function after new rules were taken."""
        self._listeners.append(receive_change)

    def apply_rules(self, rules: Rules) -> bool:
        """Take rules of a higher version and return True; ignore all others."""
        if self.rules is not None and rules.version <= self.rules.version:
            return False
        self.rules = rules
        for receive_change in self._listeners:
            receive_change()
        return True

    def apply_key(self, key: TeamKey) -> bool:
        """Take a key whose row version is higher than the one known and return True."""
        known_key = self.keys.get(key.key_id)
        if known_key is not None and key.row_version <= known_key.row_version:
            return False
        self.keys[key.key_id] = key
        return True

    def confirm(self, at_s: float) -> None:
        """Note that the view was complete at this monotonic time in seconds."""
        if self._confirmed_s is None or at_s > self._confirmed_s:
            self._confirmed_s = at_s

    def read_age_s(self) -> float:
        """Return the age of the view in seconds, infinity before the first confirmation."""
        if self._confirmed_s is None:
            return float('inf')
        return self._clock.read_monotonic_s() - self._confirmed_s

    def read_fresh_left_s(self) -> float:
        """Return for how many seconds the view stays fresh; negative when it is stale."""
        return self._fresh_s - self.read_age_s()

    def is_fresh(self) -> bool:
        """Return whether the view may be served from."""
        return self.read_fresh_left_s() >= 0
