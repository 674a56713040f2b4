"""Load of an entry, for the fair shares and the choice of targets at its peers."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class LoadReport(PeerMessage):
    """Running and waiting requests of the sender.

    `loads` maps pool and team to the fields of `TeamLoad` in their order; `outstanding` maps a target
    to the sender's requests there. Both omit zeros.
    """

    loads: dict[str, dict[str, tuple[int, ...]]]
    outstanding: dict[str, int]
