"""Asks a peer for its decisions about a subject."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ExplainQuery(PeerMessage):
    """Asks for the decisions in memory about a subject such as `vm/crossings-1`."""

    query_id: str
    subject: str
