"""Decides which entry holds the control lease of a pool."""

import enum
import hashlib
from collections.abc import Collection
from dataclasses import dataclass


class LeaseStep(enum.StrEnum):
    """What an entry does about the control lease of a pool at one check."""

    NOTHING = 'nothing'
    TAKE = 'take'
    KEEP = 'keep'
    RELEASE = 'release'


@dataclass(frozen=True, slots=True)
class LeaseView:
    """A control lease as one entry sees it; durations are measured on its own monotonic clock.

    `unchanged_s` is the time since the row last changed. `preferred_here` tells whether this entry
    is the preferred holder, `other_preferred_s` for how long another entry has been it.
    """

    held_by_other: bool
    held_here: bool
    unchanged_s: float
    preferred_here: bool
    other_preferred_s: float


def choose_holder(pool: str, members: Collection[str]) -> str:
    """Return the preferred holder of the pool (rendezvous hashing).

    A member that joins or leaves changes the holder only of the pools that are its own.
    """
    return max(members, key=lambda member: (_compute_weight(pool, member), member))


def decide_lease(view: LeaseView, ttl_s: float, handover_s: float) -> LeaseStep:
    """Return what to do about a lease.

    The lease of another entry lapses when its row has not changed for `ttl_s`. A free or lapsed
    lease is taken by the preferred entry, and once it has been free for `ttl_s` by any entry,
    because entries may disagree about who is alive. A holder releases its lease only after another
    entry has been preferred for `handover_s`.
    """
    if view.held_here:
        return LeaseStep.RELEASE if view.other_preferred_s >= handover_s else LeaseStep.KEEP
    free_s = view.unchanged_s - ttl_s if view.held_by_other else view.unchanged_s
    if free_s < 0:
        return LeaseStep.NOTHING
    if view.preferred_here or free_s >= ttl_s:
        return LeaseStep.TAKE
    return LeaseStep.NOTHING


def _compute_weight(pool: str, member: str) -> int:
    return int.from_bytes(hashlib.sha256(f'{pool}/{member}'.encode()).digest()[:8], 'big')
