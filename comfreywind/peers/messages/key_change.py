"""A key that was granted or revoked."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class KeyChange(PeerMessage):
    """The state of a key at a version of its row."""

    key_id: str
    team: str
    secret_sha256: str
    withdrawn: bool
    row_version: int
