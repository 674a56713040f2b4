"""Runs an entry process."""

import time
from functools import partial

import trio

from comfreywind.clock import SystemClock
from comfreywind.entry.caller_app import CallerApp
from comfreywind.entry.claims import Claims
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.even_split_units import EvenSplitUnits
from comfreywind.entry.feed import Feed
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.forwarder import Forwarder
from comfreywind.entry.operations import Operations
from comfreywind.entry.operator_app import OperatorApp
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.entry.target_caller import TargetCaller
from comfreywind.entry.target_client import TargetClient
from comfreywind.entry.target_health import TargetHealth
from comfreywind.entry.target_upkeep import keep_targets_tidy
from comfreywind.entry.vm_list_poller import poll_vm_list
from comfreywind.http.client import HttpClient
from comfreywind.http.server import serve_app
from comfreywind.logs import configure_logs
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.platform.object_client import ObjectClient
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.vm_list_client import VmListClient
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.entry import EntrySettings
from comfreywind.signals import set_on_termination

# Two tries with the platform's time limit; what is left then reads as unknown to a repeat.
CLAIMS_DRAIN_S = 4.0


async def run_entry(settings: EntrySettings) -> None:
    """Serve callers and operators until the process is told to end, then drain."""
    configure_logs(settings.log_format)
    clock = SystemClock()
    timings = settings.timings
    client = HttpClient(settings.platform_address, timings.platform_timeout_s)
    tables = TableClient(client)
    objects = ObjectClient(client)
    rules_view = RulesView(clock, timings.fresh_s)
    fleet_view = FleetView()
    feed = Feed(tables, objects, rules_view, fleet_view, clock)
    units = EvenSplitUnits(rules_view, len(settings.peers) + 1)
    health = TargetHealth(fleet_view, clock, DecisionLog(clock))
    dispatcher = Dispatcher(rules_view, fleet_view, units, clock, health)
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
    identity = PeerIdentity(settings.name, time.time_ns())
    claims = Claims(tables, identity, services, clock, timings.claim_retention_s)
    forwarder = Forwarder(caller, claims, clock)
    caller_app = CallerApp(
        rules_view, forwarder, clock, settings.body_limit_bytes, timings.default_deadline_s
    )
    operator_app = OperatorApp(
        settings.name,
        settings.operator_token_sha256,
        Operations(tables, objects),
        rules_view,
        fleet_view,
    )
    termination = trio.Event()
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(set_on_termination, termination)
        await nursery.start(services.run)
        nursery.start_soon(claims.run)
        nursery.start_soon(keep_targets_tidy, targets, health)
        nursery.start_soon(feed.run, timings.feed_interval_s)
        nursery.start_soon(
            poll_vm_list, VmListClient(client), fleet_view, timings.vm_list_interval_s
        )
        async with trio.open_nursery() as servers:
            servers.start_soon(partial(serve_app, caller_app, settings.caller_address, shutdown))
            servers.start_soon(
                partial(serve_app, operator_app, settings.operator_address, shutdown)
            )
            await termination.wait()
            caller_app.stopping = True
            await trio.sleep(timings.drain_notice_s)
            shutdown.set()
        await claims.drain(CLAIMS_DRAIN_S)
        nursery.cancel_scope.cancel()
