"""Chooses the nodes that a call is handed over to by a node that can't serve it."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from random import Random

# The caller waits while they are asked one after the other.
PEER_LIMIT = 3
# A node that didn't take a call is not asked again within this time.
PEER_PAUSE_S = 1.0
# What a node did longer ago says nothing of it now.
PEER_MEMORY_S = 10.0
LONG_AGO_S = float('-inf')


@dataclass(frozen=True, slots=True)
class PeerReplies:
    """When a node last served a call, and last declined one or gave no reply, on a steady clock."""

    served_s: float = LONG_AGO_S
    declined_s: float = LONG_AGO_S


def choose_peers(
    peers: Collection[str], replies: Mapping[str, PeerReplies], now_s: float, random: Random
) -> list[str]:
    """Return the names of the nodes to ask, in that order.

    Nodes that have served a call lately come first, and those that have declined one come last, as
    a trouble that keeps this node from serving often has most of the others too. Among equals the
    order is random, so that the calls of nodes that are cut off together spread over the others.
    """
    ranks = {peer: _rank_peer(replies.get(peer, PeerReplies()), now_s) for peer in sorted(peers)}
    available = [peer for peer, rank in ranks.items() if rank is not None]
    shuffled = random.sample(available, len(available))
    return sorted(shuffled, key=lambda peer: ranks[peer] or 0)[:PEER_LIMIT]


def _rank_peer(replies: PeerReplies, now_s: float) -> int | None:
    """Return the rank of a node, the lowest to be asked first, or None to leave it alone."""
    if replies.served_s > max(replies.declined_s, now_s - PEER_MEMORY_S):
        return 0
    if now_s - replies.declined_s < PEER_PAUSE_S:
        return None
    return 2 if now_s - replies.declined_s < PEER_MEMORY_S else 1
