"""Periodic state report of an entry to each of its peers."""

from dataclasses import dataclass, field

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """The sender's view and load.

    `sent_s` is a monotonic time of the sender. `echo_s` repeats the highest `sent_s` received from
    the addressee's incarnation `echo_incarnation`, None before there is one. It proves that the
    report is newer than that instant of the addressee's own clock, however long it was in transit.
    `bundle_version` is 0 without rules; `accepted_version` is higher while the content of an
    accepted version is missing. `store_age_s` is the age of the last read of the store,
    `attempt_age_s` that of the last finished attempt to read it, failed or not; both are infinite
    before the first one. The load maps omit zeros.
    """

    sent_s: float
    echo_s: float | None = None
    echo_incarnation: int = 0
    bundle_version: int = 0
    accepted_version: int = 0
    keys_digest: int = 0
    vms_digest: int = 0
    sequence: int = 0
    store_age_s: float = float('inf')
    attempt_age_s: float = float('inf')
    fresh: bool = False
    running_by_team: dict[str, int] = field(default_factory=dict)
    waiting_by_team: dict[str, int] = field(default_factory=dict)
    waiting_by_queue: dict[str, int] = field(default_factory=dict)
    outstanding_by_target: dict[str, int] = field(default_factory=dict)
