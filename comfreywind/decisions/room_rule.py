"""Decides which targets a waiting request may be sent to, by their free capacity."""

import enum
from dataclasses import dataclass


class CapacityRule(enum.Enum):
    """Targets that a request may be sent to.

    `KNOWN_FREE_CAPACITY` are the targets that have a free slot as far as this entry knows. `ANY`
    includes targets that peers have reported as full: such a report may be out of date, the target
    itself refuses a request for which it has no slot, and a refusal costs one round trip.
    """

    NONE = 'none'
    KNOWN_FREE_CAPACITY = 'known-room'
    ANY = 'any'


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Capacity of one pool as this entry sees it.

    `running` is the number of requests that this entry runs there and `quota_slots` its share of
    the slots. `free_slots` are those known to be free; `reserved_slots` of them are kept for urgent
    work. `urgent_ready_at_peers` is the number of urgent requests that wait for a slot at other
    entries. `peers_below_quota` tells whether another entry uses less than its share and has work
    that waits for a slot.
    """

    running: int
    quota_slots: int
    free_slots: int
    reserved_slots: int
    urgent_ready_at_peers: int
    peers_below_quota: bool


def decide_capacity_rule(pool: PoolCapacity, urgent: bool) -> CapacityRule:
    """Return which targets the next request may be sent to.

    An entry is the first to know that a slot is free when its own request has ended, so it would
    get that slot every time. Above its quota it therefore leaves the slot to a peer that is below
    its own quota and has work waiting.
    """
    if urgent:
        return CapacityRule.ANY
    if pool.urgent_ready_at_peers and pool.free_slots <= pool.urgent_ready_at_peers:
        return CapacityRule.NONE
    if pool.running < pool.quota_slots:
        return CapacityRule.ANY
    if pool.peers_below_quota or pool.free_slots <= pool.reserved_slots:
        return CapacityRule.NONE
    return CapacityRule.KNOWN_FREE_CAPACITY
