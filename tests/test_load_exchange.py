"""Which load reports of peers count."""

from collections.abc import Mapping
from typing import Any

from comfreywind.entry.load_exchange import LoadExchange
from comfreywind.peers.messages.load_report import LoadReport
from comfreywind.peers.peer_identity import PeerIdentity
from tests.helpers.manual_clock import ManualClock
from tests.helpers.memory_hub import MemoryHub

OLD = LoadReport({}, {'vm-0': 1})
NEW = LoadReport({}, {'vm-0': 2})


class RecordingDispatcher:
    """Keeps the reports that it was given last."""

    reports: Mapping[str, LoadReport] = {}

    def make_report(self) -> LoadReport:
        """Return an empty report."""
        return LoadReport({}, {})

    def apply_reports(self, reports: Mapping[str, LoadReport]) -> None:
        """Keep the reports."""
        self.reports = reports


def make_exchange(clock: ManualClock) -> tuple[LoadExchange, RecordingDispatcher]:
    """Return an exchange and the dispatcher that it serves."""
    dispatcher: Any = RecordingDispatcher()
    return LoadExchange(MemoryHub('entry-0', []), dispatcher, clock), dispatcher


def test_old_report_counts_no_more() -> None:
    """Guards against slots kept for ever for an entry that is gone, and against flapping."""
    clock = ManualClock()
    exchange, dispatcher = make_exchange(clock)
    exchange.receive_report(PeerIdentity('entry-1', 1), OLD)
    clock.advance(1.4)
    exchange.exchange()
    assert dispatcher.reports == {'entry-1': OLD}
    clock.advance(0.2)
    exchange.exchange()
    assert dispatcher.reports == {}


def test_replaced_process_counts_no_more() -> None:
    """Guards against a late report of a process that a later one has replaced."""
    exchange, dispatcher = make_exchange(ManualClock())
    exchange.receive_report(PeerIdentity('entry-1', 2), NEW)
    exchange.receive_report(PeerIdentity('entry-1', 1), OLD)
    exchange.exchange()
    assert dispatcher.reports == {'entry-1': NEW}
