"""Asks a peer for its view."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ViewRequest(PeerMessage):
    """Asks for the parts of the peer's view that differ from the sender's.

    The answer is a `BundleOffer` for a higher version and `KeyList` and `VmRowList` for other
    digests, and a `VmList` if it is wanted.
    """

    bundle_version: int
    keys_digest: int
    vms_digest: int
    wants_vm_list: bool
