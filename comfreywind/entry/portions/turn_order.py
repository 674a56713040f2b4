"""Staggers work that any entry may do, so that usually only one of them does it."""

from comfreywind.peers.peer_hub import PeerHub

# Each entry waits this long for every alive entry that ranks before it. Without the delay all entries
# would query all others at once; with it, the first one has usually done the write before the next
# one starts.
RANK_DELAY_S = 0.25
# An entry whose last successful read of the store is older than this neither fences members nor
# writes portion rows, because it would decide from outdated rows.
MAX_VIEW_AGE_S = 1.5


def compute_rank(own_name: str, hub: PeerHub) -> int:
    """Return how many alive peers have a name that sorts before the name of this entry."""
    return sum(peer.name < own_name for peer in hub.list_alive())
