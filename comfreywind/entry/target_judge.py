"""Which targets may get work, judged by something other than their load."""

from typing import Protocol

NOTHING_EJECTED: frozenset[str] = frozenset()


class TargetJudge(Protocol):
    """Keeps targets from the choice and adds to their load."""

    def list_ejected(self, idempotent: bool) -> frozenset[str]:
        """Return the names of the targets that may not get a request of this kind now."""

    def count_failure_load(self, name: str) -> int:
        """Return how many outstanding requests recent failures of the target count as."""


class AdmitAll:
    """Admits every target."""

    def list_ejected(self, idempotent: bool) -> frozenset[str]:
        """Return no target."""
        return NOTHING_EJECTED

    def count_failure_load(self, name: str) -> int:
        """Return no load."""
        return 0
