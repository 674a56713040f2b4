"""Chooses the nodes that a call is handed over to by a node that can't reach the store."""

from collections.abc import Collection, Mapping
from random import Random

# The caller waits while they are asked one after the other.
PEER_LIMIT = 3
# A node that didn't take a call is not asked again within this time.
PEER_PAUSE_S = 1.0


def choose_peers(
    peers: Collection[str], declined_s: Mapping[str, float], now_s: float, random: Random
) -> list[str]:
    """Return the names of the nodes to ask, in that order.

    `declined_s` tells when a node last refused a call or gave no answer. The order is random, so
    that the calls of nodes that are cut off together spread over the others.
    """
    available = [
        peer
        for peer in sorted(peers)
        if now_s - declined_s.get(peer, -PEER_PAUSE_S) >= PEER_PAUSE_S
    ]
    return random.sample(available, min(PEER_LIMIT, len(available)))
