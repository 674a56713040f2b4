"""Units given to a peer."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class UnitsTransfer(PeerMessage):
    """Running total of units that `giver` has given to `receiver`, so that repeats are idempotent.

    `idle_units` is what the giver has left to give. An unchanged total refuses a request.
    """

    giver: str
    receiver: str
    resource: str
    total_units: int
    idle_units: int
