"""Tells the peers the load of this entry and takes theirs."""

from dataclasses import dataclass

import trio

from comfreywind.clock import Clock
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.peers.messages.load_report import LoadReport
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity

REPORT_TTL_S = 1.5


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """The newest report of a peer and the monotonic time in seconds at which it came."""

    incarnation: int
    received_s: float
    report: LoadReport


class LoadExchange:
    """Broadcasts a report in a fixed period; a report older than 1.5 s counts no more."""

    def __init__(self, hub: PeerHub, dispatcher: Dispatcher, clock: Clock) -> None:
        """Follow the reports of the peers."""
        self._hub = hub
        self._dispatcher = dispatcher
        self._clock = clock
        self._received: dict[str, ReceivedReport] = {}
        hub.subscribe(LoadReport, self.receive_report)

    async def run(self, interval_s: float) -> None:
        """Exchange loads for ever."""
        next_s = trio.current_time()
        while True:
            self.exchange()
            next_s = max(next_s + interval_s, trio.current_time())
            await trio.sleep_until(next_s)

    def exchange(self) -> None:
        """Broadcast a report and let the dispatcher take the recent reports of all peers."""
        self._hub.broadcast(self._dispatcher.make_report())
        oldest_s = self._clock.read_monotonic_s() - REPORT_TTL_S
        self._received = {
            peer: received
            for peer, received in self._received.items()
            if received.received_s >= oldest_s
        }
        reports = {peer: received.report for peer, received in self._received.items()}
        self._dispatcher.apply_reports(reports)

    def receive_report(self, peer: PeerIdentity, report: LoadReport) -> None:
        """Keep the report unless it comes from a process that a later one has replaced."""
        known = self._received.get(peer.name)
        if known is not None and known.incarnation > peer.incarnation:
            return
        now_s = self._clock.read_monotonic_s()
        self._received[peer.name] = ReceivedReport(peer.incarnation, now_s, report)
