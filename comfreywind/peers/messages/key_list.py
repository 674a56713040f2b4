"""A part of a peer's keys."""

from dataclasses import dataclass

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class KeyList(PeerMessage):
    """Keys as (id, team, SHA-256 of the secret, withdrawn, row version).

    `keys_digest` is the digest of the whole set in the last part and None in the others.
    """

    keys: tuple[tuple[str, str, str, bool, int], ...]
    keys_digest: int | None
