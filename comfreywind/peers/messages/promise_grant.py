"""Promise that extends the session of an entry."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class PromiseGrant(PeerMessage):
    """The promise, which the requester counts from when it sent the request of that number."""

    holder: str
    request_number: int
