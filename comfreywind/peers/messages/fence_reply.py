"""Agreement to a fence."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class FenceReply(PeerMessage):
    """`member` has no unexpired promise to `holder` and trades no units with it any more.

    `flows` gives, by resource, the totals of all units traded between the two.
    """

    member: str
    holder: str
    renewal_number: int
    flows: tuple[tuple[str, tuple[tuple[str, int], ...]], ...]
