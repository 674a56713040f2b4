"""Answers a `ClaimQuery`."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ClaimReply(PeerMessage):
    """The outcome of the claim's request, or empty text while it runs or is not known here."""

    query_id: str
    outcome: str
