"""Exchanges load reports with the peers."""

from dataclasses import dataclass

import trio

from comfreywind.clock import Clock
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.peers.messages.load_report import LoadReport
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity

# A peer that has sent no report for this long is assumed to have no load.
REPORT_TTL_S = 1.5


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """The newest report of a peer and the monotonic time in seconds at which it arrived."""

    incarnation: int
    received_s: float
    report: LoadReport


class LoadExchange:
    """Broadcasts load reports at a fixed interval and collects those of the peers."""

    def __init__(self, hub: PeerHub, dispatcher: Dispatcher, clock: Clock) -> None:
        """Subscribe to the reports of the peers."""
        self._hub = hub
        self._dispatcher = dispatcher
        self._clock = clock
        self._received: dict[str, ReceivedReport] = {}
        hub.subscribe(LoadReport, self.receive_report)

    async def run(self, interval_s: float) -> None:
        """Exchange reports every `interval_s` seconds until cancelled."""
        next_s = trio.current_time()
        while True:
            self.exchange()
            next_s = max(next_s + interval_s, trio.current_time())
            await trio.sleep_until(next_s)

    def exchange(self) -> None:
        """Broadcast a report and apply the peers' reports of the last `REPORT_TTL_S` seconds."""
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
        """Keep the report unless a process with a higher incarnation has replaced its sender."""
        known = self._received.get(peer.name)
        if known is not None and known.incarnation > peer.incarnation:
            return
        now_s = self._clock.read_monotonic_s()
        self._received[peer.name] = ReceivedReport(peer.incarnation, now_s, report)
