"""Runs an entry process."""

from functools import partial

import trio

from comfreywind.clock import Clock, SystemClock
from comfreywind.control.control_view import ControlView
from comfreywind.control.make_control import make_control
from comfreywind.entry.caller_app import CallerApp
from comfreywind.entry.claims import Claims
from comfreywind.entry.confirmations import Confirmations
from comfreywind.entry.dispatch_policy import make_policy
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.feed import Feed
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.forwarder import Forwarder
from comfreywind.entry.observed_app import ObservedApp
from comfreywind.entry.graceful_stop import stop_serving
from comfreywind.entry.heartbeat_source import HeartbeatSource
from comfreywind.entry.member_status import MemberStatus
from comfreywind.entry.load_exchange import LoadExchange
from comfreywind.entry.operations import Operations
from comfreywind.entry.operator_app import OperatorApp
from comfreywind.entry.propagation import Propagation
from comfreywind.entry.readiness import Readiness
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.unit_policy import make_units
from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.entry.target_caller import TargetCaller
from comfreywind.entry.target_client import TargetClient
from comfreywind.entry.target_health import TargetHealth
from comfreywind.entry.target_upkeep import keep_targets_tidy
from comfreywind.entry.vm_list_poller import poll_vm_list
from comfreywind.http.client import HttpClient
from comfreywind.http.server import serve_app
from comfreywind.logs import configure_logs
from comfreywind.metrics import make_metrics
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.stream_hub import StreamHub
from comfreywind.peers.stream_limits import StreamLimits
from comfreywind.platform.object_client import ObjectClient
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.vm_list_client import VmListClient
from comfreywind.report.burn_reporter import BurnReporter
from comfreywind.report.result_recorder import ResultRecorder
from comfreywind.report.summary_store import SummaryStore
from comfreywind.report.decision_log import DecisionLog
from comfreywind.report.decision_store import DecisionStore
from comfreywind.report.explainer import Explainer
from comfreywind.settings.entry import EntrySettings
from comfreywind.signals import set_on_termination

NANOSECONDS_PER_S = 1_000_000_000


async def run_entry(settings: EntrySettings) -> None:
    """Serve callers and operators until the process is told to end, then drain."""
    configure_logs(settings.log_format)
    clock = SystemClock()
    timings = settings.timings
    client = HttpClient(settings.platform_address, timings.platform_timeout_s)
    tables = TableClient(client)
    objects = ObjectClient(client)
    rules_view = RulesView(clock, timings.fresh_s)
    fleet_view = FleetView(requires_row=True)
    control_view = ControlView(clock)
    decisions = DecisionLog(clock)
    decision_store = DecisionStore(settings.name, decisions, tables, objects)
    vm_list_client = VmListClient(client)
    hub = make_hub(settings, clock)
    propagation = Propagation(
        hub, rules_view, fleet_view, clock, timings, push=settings.push_changes
    )
    feed = Feed(tables, objects, rules_view, fleet_view, clock, control_view)
    units = make_units(settings, hub, tables, rules_view, clock, decisions)
    health = TargetHealth(fleet_view, clock, decisions)
    dispatcher = Dispatcher(
        rules_view,
        fleet_view,
        units,
        clock,
        health,
        make_policy(settings.policy),
        settings.name,
        settings.data_centre,
    )
    load_exchange = LoadExchange(hub, dispatcher, clock)
    hub.set_heartbeat_source(HeartbeatSource(rules_view, fleet_view, dispatcher).make_heartbeat)
    control = make_control(
        hub.identity,
        hub,
        control_view,
        rules_view,
        fleet_view,
        tables,
        vm_list_client,
        dispatcher.read_outstanding,
        decisions,
        clock,
        timings,
    )
    services = ServiceTasks()
    targets = TargetClient(fleet_view, clock, timings.connect_timeout_s)
    caller = TargetCaller(
        dispatcher,
        targets,
        health,
        units,
        services,
        clock,
        len(settings.peers) + 1,
        settings.buffer_limit_bytes,
        timings.silent_probe_s,
    )
    claims = Claims(tables, hub.identity, services, clock, timings.claim_retention_s, hub)
    forwarder = Forwarder(caller, claims, clock)
    readiness = Readiness(rules_view, units, dispatcher)
    caller_app = CallerApp(
        rules_view,
        readiness,
        forwarder,
        clock,
        settings.body_limit_bytes,
        timings.default_deadline_s,
    )
    recorder = ResultRecorder(clock)
    process_name = f'{settings.name}-{clock.read_utc():%Y%m%d%H%M%S%f}'
    summaries = SummaryStore(tables, objects, process_name)
    observed_app = ObservedApp(
        caller_app, rules_view, recorder, make_metrics(settings.statsd_address), clock
    )
    operator_app = OperatorApp(
        settings.name,
        settings.operator_token_sha256,
        Operations(tables, objects),
        rules_view,
        fleet_view,
        BurnReporter(summaries, recorder, clock),
        propagation,
        Confirmations(hub, rules_view, clock, timings.confirm_wait_s),
        MemberStatus(hub, clock),
        control_view,
        Explainer(settings.name, decisions, decision_store, hub),
    )
    termination = trio.Event()
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(set_on_termination, termination)
        await nursery.start(hub.run)
        await nursery.start(services.run)
        nursery.start_soon(claims.run)
        nursery.start_soon(keep_targets_tidy, targets, health)
        nursery.start_soon(feed.run, timings.feed_interval_s)
        nursery.start_soon(units.run)
        nursery.start_soon(summaries.run, recorder, timings.summary_interval_s)
        nursery.start_soon(load_exchange.run, timings.heartbeat_interval_s)
        nursery.start_soon(readiness.run, timings.heartbeat_interval_s)
        nursery.start_soon(poll_vm_list, vm_list_client, fleet_view, timings.vm_list_interval_s)
        nursery.start_soon(control.run)
        nursery.start_soon(decision_store.run, timings.decision_flush_s)
        async with trio.open_nursery() as servers:
            servers.start_soon(partial(serve_app, observed_app, settings.caller_address, shutdown))
            servers.start_soon(
                partial(serve_app, operator_app, settings.operator_address, shutdown)
            )
            await termination.wait()
            await control.release()
            await stop_serving(caller_app, timings)
            await units.leave()
            shutdown.set()
        await claims.drain(timings.platform_timeout_s)
        with trio.move_on_after(timings.platform_timeout_s):
            await decision_store.flush()
        nursery.cancel_scope.cancel()


def make_hub(settings: EntrySettings, clock: Clock) -> StreamHub:
    """Return the hub of this process; its incarnation is the wall time in nanoseconds."""
    incarnation = int(clock.read_utc().timestamp() * NANOSECONDS_PER_S)
    timings = settings.timings
    limits = StreamLimits(
        timings.heartbeat_interval_s, timings.peer_silent_s, timings.connect_timeout_s
    )
    identity = PeerIdentity(settings.name, incarnation)
    return StreamHub(identity, settings.peer_address, settings.peers, clock, limits)
