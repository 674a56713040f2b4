"""Asks a peer for its view."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ViewRequest(PeerMessage):
    """Asks for the parts of the peer's view that differ from the sender's.

    The peer answers with a `BundleOffer` if its version is higher, with `KeyList` and `VmRowList`
    where digests differ, and with a `VmList` if `wants_vm_list` is set.
    """

    bundle_version: int
    keys_digest: int
    vms_digest: int
    wants_vm_list: bool
