"""Chooses the team whose waiting request starts next (fair queueing by virtual time)."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

# Limits how far the virtual time of a team with a quota near zero advances; otherwise the team
# would wait for very long after its quota has grown.
MINIMUM_QUOTA = 0.05


class StartCandidate(Protocol):
    """The properties of a team with waiting requests that the order of starts depends on.

    `virtual_time_s` is the service that the team has received at this entry, in slot seconds per
    slot of its quota. The team with the lowest one is the furthest below its entitlement.
    """

    @property
    def virtual_time_s(self) -> float:
        """Return the service received per slot of the quota."""

    @property
    def urgent_first(self) -> bool:
        """Return whether the team has urgent work waiting within its entitlement."""


CandidateType = TypeVar('CandidateType', bound=StartCandidate)


def choose_team(candidates: Iterable[CandidateType]) -> CandidateType | None:
    """Return the team to start next, or None.

    Teams with urgent work within their entitlement go first, then the team furthest below its
    entitlement.
    """
    return min(candidates, key=_compute_sort_key, default=None)


def advance_virtual_time(virtual_time_s: float, service_s: float, quota: float) -> float:
    """Return the virtual time after `service_s` more slot seconds.

    A negative `service_s` corrects an earlier advance that was too large.
    """
    return virtual_time_s + service_s / max(quota, MINIMUM_QUOTA)


def _compute_sort_key(candidate: StartCandidate) -> tuple[bool, float]:
    return not candidate.urgent_first, candidate.virtual_time_s
