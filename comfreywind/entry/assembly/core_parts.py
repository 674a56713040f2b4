"""Components that all others of an entry use: clients, views and the hub."""

from dataclasses import dataclass

from comfreywind.clock import Clock, SystemClock
from comfreywind.control.control_view import ControlView
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.http.client import HttpClient
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.stream_hub import StreamHub
from comfreywind.peers.stream_limits import StreamLimits
from comfreywind.platform.object_client import ObjectClient
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.vm_list_client import VmListClient
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.entry import EntrySettings

NANOSECONDS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class CoreComponents:
    """The settings, clock, clients, views, decision log and hub of an entry."""

    settings: EntrySettings
    clock: Clock
    tables: TableClient
    objects: ObjectClient
    vm_list_client: VmListClient
    rules_view: RulesView
    fleet_view: FleetView
    control_view: ControlView
    decisions: DecisionLog
    hub: StreamHub


def make_core_components(settings: EntrySettings) -> CoreComponents:
    """Build the core components without opening connections."""
    clock = SystemClock()
    client = HttpClient(settings.platform_address, settings.timings.platform_timeout_s)
    return CoreComponents(
        settings=settings,
        clock=clock,
        tables=TableClient(client),
        objects=ObjectClient(client),
        vm_list_client=VmListClient(client),
        rules_view=RulesView(clock, settings.timings.fresh_s),
        fleet_view=FleetView(requires_row=True),
        control_view=ControlView(clock),
        decisions=DecisionLog(clock),
        hub=_make_hub(settings, clock),
    )


def _make_hub(settings: EntrySettings, clock: Clock) -> StreamHub:
    """Build the hub; the incarnation of the process is its start as Unix time in nanoseconds."""
    incarnation = int(clock.read_utc().timestamp() * NANOSECONDS_PER_S)
    timings = settings.timings
    limits = StreamLimits(
        timings.heartbeat_interval_s, timings.peer_silent_s, timings.connect_timeout_s
    )
    identity = PeerIdentity(settings.name, incarnation)
    return StreamHub(identity, settings.peer_address, settings.peers, clock, limits)
