"""A part of the platform's VM list as a peer has read it."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class VmList(PeerMessage):
    """VMs as (name, address, data centre, rack, pool, state, incarnation).

    `first` and `last` mark the first and the last part.
    """

    vms: tuple[tuple[str, str, str, str, str, str, int], ...]
    first: bool
    last: bool
