"""Asks the entry that holds a claim for the outcome of its request."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ClaimQuery(PeerMessage):
    """Query about one claim; the reply repeats `query_id`."""

    query_id: str
    claim_id: str
