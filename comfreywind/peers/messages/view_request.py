"""Asks a peer for its rules and keys."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ViewRequest(PeerMessage):
    """Asks for the keys, and for the bundle if its version is higher than the given one."""

    bundle_version: int
