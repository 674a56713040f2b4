"""Peer hubs that deliver within the process."""

from collections.abc import Callable
from typing import Any

from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.peer_message import PeerMessage


class FakeHub:
    """Hands each message at once to the hub of its receiver."""

    def __init__(self, name: str, network: dict[str, 'FakeHub']) -> None:
        """Join the network."""
        self.identity = PeerIdentity(name, 1)
        self._network = network
        self._receivers: dict[type[PeerMessage], Callable[[PeerIdentity, Any], None]] = {}
        network[name] = self

    def send(self, peer_name: str, message: PeerMessage) -> bool:
        """Deliver, or return False for a peer that is not there."""
        peer = self._network.get(peer_name)
        if peer is None:
            return False
        peer._receivers[type(message)](self.identity, message)
        return True

    def broadcast(self, message: PeerMessage) -> None:
        """Deliver to all others."""
        for name in self._network:
            if name != self.identity.name:
                self.send(name, message)

    def subscribe(
        self, message_type: type[Any], receive_message: Callable[[PeerIdentity, Any], None]
    ) -> None:
        """Keep the function for the type."""
        self._receivers[message_type] = receive_message

    def list_alive(self) -> tuple[PeerIdentity, ...]:
        """Return all peers in the network."""
        return tuple(hub.identity for hub in self._network.values())
