"""Messaging interface between the components of an entry and other entries."""

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
        """Queue a message for every peer with a stream except the one named `excluded`."""

    def subscribe(
        self,
        message_type: type[MessageType],
        receive_message: Callable[[PeerIdentity, MessageType], None],
    ) -> None:
        """Call the function for each received message of the type."""

    def list_alive(self) -> tuple[PeerIdentity, ...]:
        """Return the peers whose last heartbeat is within the silence limit."""

    def list_states(self) -> tuple[PeerState, ...]:
        """Return the state of each peer that has sent a `Hello`."""

    def list_members(self) -> Mapping[str, Address]:
        """Return the peer address of each other member by name, alive or not."""

    def set_members(self, members: Mapping[str, Address]) -> None:
        """Replace the members by those of the table `members` and connect to the new ones."""

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all peers now, without waiting for the interval.

        Used when a value that peers wait for has changed.
        """

    def count_sent_bytes(self) -> int:
        """Return the bytes sent to the peers, without TCP and IP headers."""
