"""Creates the unit source for the settings."""

from comfreywind.clock import Clock
from comfreywind.entry.even_split_units import EvenSplitUnits
from comfreywind.entry.portions.member_row import MemberRow
from comfreywind.entry.portions.portion_keeper import PortionKeeper
from comfreywind.entry.rules_view import RulesView
from comfreywind.peers.stream_hub import StreamHub
from comfreywind.platform.table_client import TableClient
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.entry import EntrySettings

RunnableUnits = PortionKeeper | EvenSplitUnits


def make_units(
    settings: EntrySettings,
    hub: StreamHub,
    tables: TableClient,
    rules_view: RulesView,
    clock: Clock,
    decisions: DecisionLog,
) -> RunnableUnits:
    """Return the unit source named by the setting `unit_policy`."""
    if settings.unit_policy == 'even-split':
        return EvenSplitUnits(rules_view, len(settings.peers) + 1)
    member = MemberRow(
        name=settings.name,
        incarnation=hub.identity.incarnation,
        peer_address=str(settings.peer_address),
        data_centre=settings.data_centre,
        renewal_number=0,
    )
    return PortionKeeper(member, hub, tables, rules_view, clock, settings.timings, decisions)
