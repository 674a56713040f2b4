"""Periodic report of an entry to each of its peers."""

from dataclasses import dataclass, field

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """The sender's view and load.

    `sent_s` is a monotonic time of the sender. `echo_s` repeats the highest `sent_s` received from
    the addressee's incarnation `echo_incarnation`, None before there is one. It proves that the
    report is newer than that instant of the addressee's own clock, however long it was in transit.
    `bundle_version` is 0 without rules, `store_age_s` is infinite before the first read. The load
    maps hold values other than zero only.
    """

    sent_s: float
    echo_s: float | None = None
    echo_incarnation: int = 0
    bundle_version: int = 0
    keys_digest: int = 0
    vms_digest: int = 0
    sequence: int = 0
    store_age_s: float = float('inf')
    fresh: bool = False
    running_by_team: dict[str, int] = field(default_factory=dict)
    waiting_by_team: dict[str, int] = field(default_factory=dict)
    waiting_by_queue: dict[str, int] = field(default_factory=dict)
    outstanding_by_target: dict[str, int] = field(default_factory=dict)
