"""Request for units of a team's ceiling."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class UnitsRequest(PeerMessage):
    """Asks for units; `held_units` and `demand_units` let the receiver divide the units fairly."""

    holder: str
    resource: str
    wanted_units: int
    held_units: int
    demand_units: int
