"""A hub of an entry that has no peers."""

from collections.abc import Callable

from comfreywind.peers.peer_hub import MessageType
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.peer_message import PeerMessage


class NoPeers:
    """Drops every message."""

    def send(self, peer_name: str, message: PeerMessage) -> bool:
        """Drop the message."""
        return False

    def broadcast(self, message: PeerMessage) -> None:
        """Drop the message."""

    def subscribe(
        self,
        message_type: type[MessageType],
        receive_message: Callable[[PeerIdentity, MessageType], None],
    ) -> None:
        """Ignore the function, since no message arrives."""

    def list_alive(self) -> tuple[PeerIdentity, ...]:
        """Return no peers."""
        return ()
