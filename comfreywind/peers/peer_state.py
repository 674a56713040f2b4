"""What this entry knows about one peer."""

from dataclasses import dataclass

import trio

from comfreywind.peers.messages.heartbeat import Heartbeat
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.settings.address import Address


@dataclass(slots=True)
class PeerState:
    """Identity, address and last heartbeat; all times are monotonic seconds of this entry.

    `heard_s` is when the last heartbeat arrived. `asked_s` is when this entry sent the newest
    heartbeat that the peer has echoed, so what the peer reports is newer than that.
    """

    identity: PeerIdentity
    address: Address
    stream_scope: trio.CancelScope
    heartbeat: Heartbeat | None = None
    heard_s: float = float('-inf')
    asked_s: float = float('-inf')
