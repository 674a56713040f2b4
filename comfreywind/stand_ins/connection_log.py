"""Counts of the connections to the executors, as evidence for tests and bench."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class ConnectionLog:
    """Open and refused connections and the highest number open at once, by executor."""

    current: Counter[str] = field(default_factory=Counter)
    highest: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    def open(self, name: str, limit: int) -> bool:
        """Count a new connection, or return False for one beyond the limit."""
        if self.current[name] >= limit:
            self.refused[name] += 1
            return False
        self.current[name] += 1
        self.highest[name] = max(self.highest[name], self.current[name])
        return True

    def close(self, name: str) -> None:
        """Count the end of a connection."""
        self.current[name] -= 1
