"""First message on a stream."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """Who opened the stream and where it listens for peers, as `ip:port`."""

    name: str
    incarnation: int
    protocol_version: int
    peer_address: str
