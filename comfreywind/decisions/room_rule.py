"""Decides which targets a waiting request may be sent to."""

import enum
from dataclasses import dataclass


class RoomRule(enum.Enum):
    """Targets that a request may go to.

    `ANY` includes targets that peers have reported as full: the target states truthfully whether it
    has a slot, and a refusal costs one round trip.
    """

    NONE = 'none'
    KNOWN_ROOM = 'known-room'
    ANY = 'any'


@dataclass(frozen=True, slots=True)
class PoolRoom:
    """Figures of one pool: requests running from here, this entry's part, slots known as free.

    `reserved_slots` are kept free for urgent work.
    """

    running: int
    quota_slots: int
    free_slots: int
    reserved_slots: int
    urgent_ready_at_peers: int
    peers_below_quota: bool


def decide_room(room: PoolRoom, urgent: bool) -> RoomRule:
    """Return where the next request may go.

    A slot freed here is first known here, so this entry would win it every time; above its quota it
    leaves the slot to a peer that is below its own and has work waiting.
    """
    if urgent:
        return RoomRule.ANY
    if room.urgent_ready_at_peers and room.free_slots <= room.urgent_ready_at_peers:
        return RoomRule.NONE
    if room.running < room.quota_slots:
        return RoomRule.ANY
    if room.peers_below_quota or room.free_slots <= room.reserved_slots:
        return RoomRule.NONE
    return RoomRule.KNOWN_ROOM
