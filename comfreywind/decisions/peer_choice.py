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

    Nodes that have served a call lately come first, as what keeps this node from serving often has
    most of the others too; those that have declined one come last. While few are known to serve,
    one that is not known comes before them, so that the calls spread over more nodes.
    """
    shuffled = random.sample(sorted(peers), len(peers))
    served, unknown, declined = (
        [peer for peer in shuffled if is_kind(replies.get(peer, PeerReplies()), now_s)]
        for is_kind in (_has_served, _is_unknown, _may_be_asked_again)
    )
    explored = unknown[:1] if len(served) < PEER_LIMIT else []
    return [*explored, *served, *unknown[len(explored) :], *declined][:PEER_LIMIT]


def _has_served(replies: PeerReplies, now_s: float) -> bool:
    return replies.served_s > max(replies.declined_s, now_s - PEER_MEMORY_S)


def _is_unknown(replies: PeerReplies, now_s: float) -> bool:
    return not _has_served(replies, now_s) and now_s - replies.declined_s >= PEER_MEMORY_S


def _may_be_asked_again(replies: PeerReplies, now_s: float) -> bool:
    """Return whether a node has declined a call lately, but not just now."""
    since_s = now_s - replies.declined_s
    return not _has_served(replies, now_s) and PEER_PAUSE_S <= since_s < PEER_MEMORY_S
