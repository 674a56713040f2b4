"""State of one peer as seen by this entry."""

from dataclasses import dataclass

import trio

from comfreywind.peers.messages.heartbeat import Heartbeat
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.settings.address import Address


@dataclass(slots=True)
class PeerState:
    """Identity, address and last heartbeat; all times are monotonic seconds of this entry.

    `last_heartbeat_s` is when the last heartbeat arrived. `echoed_sent_s` is when this entry sent the
    newest heartbeat that the peer has echoed; what the peer reports is newer than that time.
    """

    identity: PeerIdentity
    address: Address
    stream_scope: trio.CancelScope
    heartbeat: Heartbeat | None = None
    last_heartbeat_s: float = float('-inf')
    echoed_sent_s: float = float('-inf')
