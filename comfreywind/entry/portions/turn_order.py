"""The order in which entries do work that any of them may do."""

from comfreywind.peers.peer_hub import PeerHub

# The entries try one after the other, so that not all of them ask all others at once, and the first
# one mostly spares the others the write.
RANK_DELAY_S = 0.25
# Only an entry that reads the store now can fence, and shared work is decided from what was read
# within this time.
VIEW_AGE_LIMIT_S = 1.5


def read_rank(own_name: str, hub: PeerHub) -> int:
    """Return how many alive entries come before this one, in the order of their names."""
    return sum(peer.name < own_name for peer in hub.list_alive())
