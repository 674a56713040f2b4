"""Asks the entry that holds a claim how its request has ended."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ClaimQuery(PeerMessage):
    """A question about one claim; `query_id` comes back in the reply."""

    query_id: str
    claim_id: str
