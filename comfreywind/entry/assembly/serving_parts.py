"""Components that serve callers."""

from dataclasses import dataclass

from comfreywind.entry.assembly.core_parts import CoreComponents
from comfreywind.entry.caller_app import CallerApp
from comfreywind.entry.claims import Claims
from comfreywind.entry.dispatch_policy import make_policy
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.forwarder import Forwarder
from comfreywind.entry.heartbeat_source import HeartbeatSource
from comfreywind.entry.load_exchange import LoadExchange
from comfreywind.entry.readiness import Readiness
from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.entry.target_caller import TargetCaller
from comfreywind.entry.target_client import TargetClient
from comfreywind.entry.target_health import TargetHealth
from comfreywind.entry.unit_policy import RunnableUnits, make_units


@dataclass(frozen=True, slots=True)
class ServingComponents:
    """The app for callers and what queues, places and forwards its requests."""

    units: RunnableUnits
    health: TargetHealth
    dispatcher: Dispatcher
    load_exchange: LoadExchange
    services: ServiceTasks
    targets: TargetClient
    claims: Claims
    readiness: Readiness
    caller_app: CallerApp


def make_serving_components(core: CoreComponents) -> ServingComponents:
    """Build the components that serve callers and set the source of the heartbeats."""
    settings = core.settings
    units = make_units(settings, core.hub, core.tables, core.rules_view, core.clock, core.decisions)
    health = TargetHealth(core.fleet_view, core.clock, core.decisions)
    dispatcher = Dispatcher(
        core.rules_view,
        core.fleet_view,
        units,
        core.clock,
        health,
        make_policy(settings.policy),
        settings.name,
        settings.data_centre,
    )
    heartbeats = HeartbeatSource(core.rules_view, core.fleet_view, dispatcher)
    core.hub.set_heartbeat_source(heartbeats.make_heartbeat)
    services = ServiceTasks()
    targets = TargetClient(core.fleet_view, core.clock, settings.timings.connect_timeout_s)
    claims = Claims(
        core.tables,
        core.hub.identity,
        services,
        core.clock,
        settings.timings.claim_retention_s,
        core.hub,
    )
    caller = TargetCaller(
        dispatcher,
        targets,
        health,
        units,
        services,
        core.clock,
        len(settings.peers) + 1,
        settings.buffer_limit_bytes,
        settings.timings.silent_probe_s,
    )
    readiness = Readiness(core.rules_view, units, dispatcher)
    caller_app = CallerApp(
        core.rules_view,
        readiness,
        Forwarder(caller, claims, core.clock),
        core.clock,
        settings.body_limit_bytes,
        settings.timings.default_deadline_s,
    )
    return ServingComponents(
        units=units,
        health=health,
        dispatcher=dispatcher,
        load_exchange=LoadExchange(core.hub, dispatcher, core.clock),
        services=services,
        targets=targets,
        claims=claims,
        readiness=readiness,
        caller_app=caller_app,
    )
