"""Which entry holds the control work of a pool."""

import enum
import hashlib
from collections.abc import Collection
from dataclasses import dataclass


class LeaseStep(enum.StrEnum):
    """What an entry does about the control lease of a pool."""

    NOTHING = 'nothing'
    TAKE = 'take'
    KEEP = 'keep'
    RELEASE = 'release'


@dataclass(frozen=True, slots=True)
class LeaseView:
    """A control lease as one entry sees it; durations are on its own monotonic clock.

    `unchanged_s` is how long the row has not changed; `other_preferred_s` is how long another
    entry has been the preferred holder.
    """

    held_by_other: bool
    held_here: bool
    unchanged_s: float
    preferred_here: bool
    other_preferred_s: float


def choose_holder(pool: str, members: Collection[str]) -> str:
    """Return the member that should hold the pool (rendezvous hashing).

    A member that comes or goes changes only the pools that it holds itself.
    """
    return max(members, key=lambda member: (_weigh(pool, member), member))


def decide_lease(view: LeaseView, ttl_s: float, handover_s: float) -> LeaseStep:
    """Return what to do about a lease.

    A free lease is taken by the preferred entry, and after `ttl_s` by any, because entries may
    differ about who is alive. A lease of another entry lapses when its row stays unchanged. It is
    given up for another entry only after that one has been preferred for `handover_s`.
    """
    if view.held_here:
        return LeaseStep.RELEASE if view.other_preferred_s >= handover_s else LeaseStep.KEEP
    free_s = view.unchanged_s - ttl_s if view.held_by_other else view.unchanged_s
    if free_s < 0:
        return LeaseStep.NOTHING
    if view.preferred_here or free_s >= ttl_s:
        return LeaseStep.TAKE
    return LeaseStep.NOTHING


def _weigh(pool: str, member: str) -> int:
    return int.from_bytes(hashlib.sha256(f'{pool}/{member}'.encode()).digest()[:8], 'big')
