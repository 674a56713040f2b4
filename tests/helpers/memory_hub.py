"""Peer hubs that hand messages over in memory."""

from collections.abc import Callable
from typing import Any

from comfreywind.peers.messages.load_report import LoadReport
from comfreywind.peers.peer_identity import PeerIdentity


class MemoryHub:
    """Delivers broadcasts at once to all hubs in the same list, with plain copied fields."""

    def __init__(self, name: str, hubs: 'list[MemoryHub]') -> None:
        """Join the other hubs."""
        self._identity = PeerIdentity(name, 1)
        self._hubs = hubs
        self.handlers: list[Callable[[PeerIdentity, Any], None]] = []
        hubs.append(self)

    def send(self, peer_name: str, message: Any) -> bool:
        """Drop the message; the load exchange only broadcasts."""
        return False

    def broadcast(self, message: Any) -> None:
        """Deliver the message to every other hub."""
        for hub in self._hubs:
            for receive_message in hub.handlers if hub is not self else ():
                receive_message(self._identity, message)

    def subscribe(self, message_type: Any, receive_message: Any) -> None:
        """Keep the function."""
        assert message_type is LoadReport
        self.handlers.append(receive_message)

    def list_alive(self) -> tuple[PeerIdentity, ...]:
        """Return no peers; the load exchange counts reports."""
        return ()
