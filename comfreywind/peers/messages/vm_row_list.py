"""A part of a peer's rows of the table `vms`."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class VmRowList(PeerMessage):
    """Rows as (VM name, row version, value as JSON text).

    `vms_digest` is the digest of the whole set in the last part and None in the others.
    """

    rows: tuple[tuple[str, int, str], ...]
    vms_digest: int | None
