"""A bundle version that is in force."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class BundleOffer(PeerMessage):
    """An accepted bundle version with its digest and its content as JSON text."""

    version: int
    digest: str
    bundle_text: str
