"""Identity of an entry process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Name of an entry and the incarnation of its process; a later process has a higher one."""

    name: str
    incarnation: int
