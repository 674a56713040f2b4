"""Confirmation of units that were received."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class UnitsReceived(PeerMessage):
    """The receiver has counted the total, so the giver needn't repeat it."""

    giver: str
    receiver: str
    resource: str
    total_units: int
