"""Chooses the team whose waiting request starts next."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

# Bounds the step of a team whose quota is close to zero, so that it recovers when the quota grows.
MINIMUM_QUOTA = 0.05


class StartCandidate(Protocol):
    """A team with a waiting request, as far as the order of starts depends on it.

    `virtual_time_s` is the service that the team received here, in slot seconds for each slot of
    its quota: the lowest one is the furthest below its entitlement.
    """

    @property
    def virtual_time_s(self) -> float:
        """Return the service received for each slot of the quota."""

    @property
    def urgent_first(self) -> bool:
        """Return whether it has urgent work waiting within its entitlement."""


CandidateType = TypeVar('CandidateType', bound=StartCandidate)


def choose_team(candidates: Iterable[CandidateType]) -> CandidateType | None:
    """Return the team furthest below its entitlement; urgent work within it goes first."""
    return min(candidates, key=_make_order_key, default=None)


def advance_virtual_time(virtual_time_s: float, service_s: float, quota: float) -> float:
    """Return the virtual time after `service_s` slot seconds; negative seconds correct it."""
    return virtual_time_s + service_s / max(quota, MINIMUM_QUOTA)


def _make_order_key(candidate: StartCandidate) -> tuple[bool, float]:
    return not candidate.urgent_first, candidate.virtual_time_s
