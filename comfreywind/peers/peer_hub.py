"""What the parts of an entry use to talk to other entries."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.peer_message import PeerMessage

MessageType = TypeVar('MessageType', bound=PeerMessage)


class PeerHub(Protocol):
    """Sends messages to other entries and hands received ones to their subscribers.

    Delivery is best effort: a message to a peer without a stream, or with a full queue, is dropped.
    Messages on one stream arrive in order. Handlers are plain functions that must not block.
    """

    def send(self, peer_name: str, message: PeerMessage) -> bool:
        """Queue a message for a peer and return False when it was dropped."""

    def broadcast(self, message: PeerMessage) -> None:
        """Queue a message for every peer with a stream."""

    def subscribe(
        self,
        message_type: type[MessageType],
        receive_message: Callable[[PeerIdentity, MessageType], None],
    ) -> None:
        """Call the function for each received message of the type."""

    def list_alive(self) -> tuple[PeerIdentity, ...]:
        """Return the peers whose last heartbeat is recent."""
