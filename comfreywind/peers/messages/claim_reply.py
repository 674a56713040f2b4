"""Answers a `ClaimQuery`."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ClaimReply(PeerMessage):
    """The outcome of the claim's request; empty while it runs or if the sender does not know it."""

    query_id: str
    outcome: str
