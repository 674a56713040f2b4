"""Request to agree to a fence."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class FenceQuery(PeerMessage):
    """Asks to agree to the fence of `holder` at its renewal number; not answered when refused."""

    holder: str
    renewal_number: int
