"""What the parts of an entry use to talk to other entries."""

from collections.abc import Callable, Mapping
from typing import Protocol, TypeVar

from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.peer_message import PeerMessage
from comfreywind.peers.peer_state import PeerState
from comfreywind.settings.address import Address

MessageType = TypeVar('MessageType', bound=PeerMessage)


class PeerHub(Protocol):
    """Sends messages to other entries and hands received ones to their subscribers.

    Delivery is best effort: a message to a peer without a stream, or with a full queue, is dropped.
    Messages on one stream arrive in order. Handlers are plain functions that must not block.
    """

    def send(self, peer_name: str, message: PeerMessage) -> bool:
        """Queue a message for a peer and return False when it was dropped."""

    def broadcast(self, message: PeerMessage, excluded: str = '') -> None:
        """Queue a message for every peer with a stream but the one of the excluded name."""

    def subscribe(
        self,
        message_type: type[MessageType],
        receive_message: Callable[[PeerIdentity, MessageType], None],
    ) -> None:
        """Call the function for each received message of the type."""

    def list_alive(self) -> tuple[PeerIdentity, ...]:
        """Return the peers whose last heartbeat is recent."""

    def list_states(self) -> tuple[PeerState, ...]:
        """Return what is known about each peer that has introduced itself."""

    def list_members(self) -> Mapping[str, Address]:
        """Return name and peer address of the other members, alive or not."""

    def set_members(self, members: Mapping[str, Address]) -> None:
        """Take the members named by the table `members` and connect to the new ones."""

    def send_heartbeats(self) -> None:
        """Report to all peers now, because something that they wait for has changed."""

    def count_sent_bytes(self) -> int:
        """Return the bytes sent to the peers, without those of TCP and IP."""
