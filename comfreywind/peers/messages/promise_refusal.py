"""Refusal of a promise."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class PromiseRefusal(PeerMessage):
    """The sender has no valid session, or has agreed to the fence of the requester."""

    holder: str
    request_number: int
