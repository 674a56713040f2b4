"""Weighted max-min fair shares."""

from collections.abc import Mapping
from dataclasses import dataclass

TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class ShareClaim:
    """A claimant's weight and the most that it can use: its demand, capped by its ceiling."""

    weight: float
    limit: float


def compute_fair_shares(capacity: float, claims: Mapping[str, ShareClaim]) -> dict[str, float]:
    """Return the weighted max-min fair share of each claimant.

    No share exceeds its limit, the shares sum up to the lower of capacity and all limits, and a
    claimant below its limit has at least as much per weight as any other.
    """
    shares: dict[str, float] = {}
    left = max(0, capacity)
    weight_left = sum(claim.weight for claim in claims.values())
    for name, claim in sorted(claims.items(), key=_read_fill_level):
        part = left * claim.weight / weight_left if weight_left > TOLERANCE else left
        share = min(claim.limit, part)
        shares[name] = share
        left = max(0, left - share)
        weight_left -= claim.weight
    return shares


def _read_fill_level(named_claim: tuple[str, ShareClaim]) -> tuple[float, str]:
    name, claim = named_claim
    return claim.limit / claim.weight, name
