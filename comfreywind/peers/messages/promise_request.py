"""Request of an entry that can't renew its session at the store."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class PromiseRequest(PeerMessage):
    """Asks not to agree to the fence of `holder`, whose last confirmed renewal is given."""

    holder: str
    renewal_number: int
    request_number: int
