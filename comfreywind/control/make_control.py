"""Creates the control task of an entry."""

from comfreywind.clock import Clock
from comfreywind.control.control_parts import ControlComponents
from comfreywind.control.control_task import ControlTask
from comfreywind.control.control_view import ControlView
from comfreywind.control.drain_watch import DrainWatch
from comfreywind.control.health_watch import HealthWatch
from comfreywind.control.member_watch import MemberWatch, OutstandingReader
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.vm_list_client import VmListClient
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.timings import Timings


def make_control(
    identity: PeerIdentity,
    hub: PeerHub,
    view: ControlView,
    rules_view: RulesView,
    fleet_view: FleetView,
    tables: TableClient,
    vm_operations: VmListClient,
    read_outstanding: OutstandingReader,
    decisions: DecisionLog,
    clock: Clock,
    timings: Timings,
) -> ControlTask:
    """Return the control task of the entry, with the components of its controllers."""
    silence_limit_s = (timings.fresh_s + timings.session_ttl_s) * (1 + timings.clock_drift_ratio)
    members = MemberWatch(identity.name, hub, view, read_outstanding, clock, silence_limit_s)
    components = ControlComponents(
        name=identity.name,
        incarnation=identity.incarnation,
        tables=tables,
        vm_operations=vm_operations,
        view=view,
        members=members,
        drains=DrainWatch(view, members, clock),
        health=HealthWatch(clock),
        decisions=decisions,
        clock=clock,
        timings=timings,
    )
    return ControlTask(components, rules_view, fleet_view)
