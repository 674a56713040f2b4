"""Load reports of peers that are expired or come from a replaced process are ignored."""

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
    """Records the reports that were applied last."""

    reports: Mapping[str, LoadReport] = {}

    def make_report(self) -> LoadReport:
        """Return an empty report."""
        return LoadReport({}, {})

    def apply_reports(self, reports: Mapping[str, LoadReport]) -> None:
        """Record the reports."""
        self.reports = reports


def make_exchange(clock: ManualClock) -> tuple[LoadExchange, RecordingDispatcher]:
    """Return an exchange and its dispatcher."""
    dispatcher: Any = RecordingDispatcher()
    return LoadExchange(MemoryHub('entry-0', []), dispatcher, clock), dispatcher


def test_old_report_is_dropped() -> None:
    """A report counts for 1.5 s and is then dropped.

    Kept longer, the requests of an entry that is gone would occupy slots for ever; dropped sooner,
    the slots in use would flap.
    """
    clock = ManualClock()
    exchange, dispatcher = make_exchange(clock)
    exchange.receive_report(PeerIdentity('entry-1', 1), OLD)
    clock.advance(1.4)
    exchange.exchange()
    assert dispatcher.reports == {'entry-1': OLD}
    clock.advance(0.2)
    exchange.exchange()
    assert dispatcher.reports == {}


def test_report_of_replaced_process_is_ignored() -> None:
    """A late report of a replaced process doesn't overwrite the report of its successor."""
    exchange, dispatcher = make_exchange(ManualClock())
    exchange.receive_report(PeerIdentity('entry-1', 2), NEW)
    exchange.receive_report(PeerIdentity('entry-1', 1), OLD)
    exchange.exchange()
    assert dispatcher.reports == {'entry-1': NEW}
