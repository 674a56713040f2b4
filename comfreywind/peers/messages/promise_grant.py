"""Promise that extends the session of an entry."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class PromiseGrant(PeerMessage):
    """The promise; its term starts when the requester sent the request with this number."""

    holder: str
    request_number: int
