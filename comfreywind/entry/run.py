"""Runs an entry process."""

from functools import partial

import trio

from comfreywind.entry.assembly.core_parts import CoreComponents, make_core_components
from comfreywind.entry.assembly.operating_parts import (
    OperatingComponents,
    make_operating_components,
)
from comfreywind.entry.assembly.serving_parts import ServingComponents, make_serving_components
from comfreywind.entry.graceful_stop import stop_serving
from comfreywind.entry.target_upkeep import maintain_targets
from comfreywind.entry.vm_list_poller import poll_vm_list
from comfreywind.http.server import serve_app
from comfreywind.logs import configure_logs
from comfreywind.settings.entry import EntrySettings
from comfreywind.signals import set_on_termination


async def run_entry(settings: EntrySettings) -> None:
    """Serve callers and operators until a termination signal arrives, then drain."""
    configure_logs(settings.log_format)
    core = make_core_components(settings)
    serving = make_serving_components(core)
    operating = make_operating_components(core, serving)
    termination = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(set_on_termination, termination)
        await nursery.start(core.hub.run)
        await nursery.start(serving.services.run)
        start_serving_tasks(nursery, core, serving)
        start_operating_tasks(nursery, core, operating)
        await serve_until(termination, core, serving, operating)
        await finish_writes(core, serving, operating)
        nursery.cancel_scope.cancel()


def start_serving_tasks(
    nursery: trio.Nursery, core: CoreComponents, serving: ServingComponents
) -> None:
    """Start the background tasks that serving callers relies on."""
    heartbeat_interval_s = core.settings.timings.heartbeat_interval_s
    nursery.start_soon(serving.claims.run)
    nursery.start_soon(serving.units.run)
    nursery.start_soon(serving.load_exchange.run, heartbeat_interval_s)
    nursery.start_soon(serving.readiness.run, heartbeat_interval_s)
    nursery.start_soon(maintain_targets, serving.targets, serving.health)


def start_operating_tasks(
    nursery: trio.Nursery, core: CoreComponents, operating: OperatingComponents
) -> None:
    """Start the tasks that poll the platform, control the pools and write reports."""
    timings = core.settings.timings
    nursery.start_soon(operating.feed.run, timings.feed_interval_s)
    nursery.start_soon(
        poll_vm_list, core.vm_list_client, core.fleet_view, timings.vm_list_interval_s
    )
    nursery.start_soon(operating.control.run)
    nursery.start_soon(operating.summaries.run, operating.recorder, timings.summary_interval_s)
    nursery.start_soon(operating.decision_store.run, timings.decision_flush_s)


async def serve_until(
    termination: trio.Event,
    core: CoreComponents,
    serving: ServingComponents,
    operating: OperatingComponents,
) -> None:
    """Run both servers; on termination finish requests in flight and return the portions."""
    settings = core.settings
    shutdown = trio.Event()
    async with trio.open_nursery() as servers:
        servers.start_soon(
            partial(serve_app, operating.observed_app, settings.caller_address, shutdown)
        )
        servers.start_soon(
            partial(serve_app, operating.operator_app, settings.operator_address, shutdown)
        )
        await termination.wait()
        await operating.control.release()
        await stop_serving(serving.caller_app, settings.timings)
        await serving.units.leave()
        shutdown.set()


async def finish_writes(
    core: CoreComponents, serving: ServingComponents, operating: OperatingComponents
) -> None:
    """Write the outcomes of claims, then the last decisions, each within the platform timeout."""
    timeout_s = core.settings.timings.platform_timeout_s
    await serving.claims.drain(timeout_s)
    with trio.move_on_after(timeout_s):
        await operating.decision_store.flush()
