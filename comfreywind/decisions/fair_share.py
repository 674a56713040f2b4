"""Weighted max-min fair shares."""

from collections.abc import Mapping
from dataclasses import dataclass

TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class ShareClaim:
    """A claimant's weight and the most that it can use, which is its demand up to its ceiling."""

    weight: float
    limit: float


def compute_fair_shares(capacity: float, claims: Mapping[str, ShareClaim]) -> dict[str, float]:
    """Return the weighted max-min fair share of each claimant.

    No share exceeds the claimant's limit. The shares sum up to the capacity or to the sum of the
    limits, whichever is lower. A claimant below its limit gets at least as much per unit of weight
    as any other.
    """
    shares: dict[str, float] = {}
    remaining = max(0, capacity)
    remaining_weight = sum(claim.weight for claim in claims.values())
    for name, claim in sorted(claims.items(), key=_compute_limit_per_weight):
        proportional_share = (
            remaining * claim.weight / remaining_weight
            if remaining_weight > TOLERANCE
            else remaining
        )
        share = min(claim.limit, proportional_share)
        shares[name] = share
        remaining = max(0, remaining - share)
        remaining_weight -= claim.weight
    return shares


def _compute_limit_per_weight(named_claim: tuple[str, ShareClaim]) -> tuple[float, str]:
    name, claim = named_claim
    return claim.limit / claim.weight, name
