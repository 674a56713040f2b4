"""Asks a peer for its decisions about a subject."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ExplainQuery(PeerMessage):
    """Asks for the decisions that the peer holds in memory about a subject like `vm/crossings-1`."""

    query_id: str
    subject: str
