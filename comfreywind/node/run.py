"""Runs a node: serves callers, and schedules jobs while the node holds the term."""

import logging
import random
import resource
import signal
from functools import partial

import trio

from comfreywind.clock import Clock, SystemClock
from comfreywind.errors import ListenError
from comfreywind.decisions.clients.client_budget import (
    CALLERS,
    METRICS,
    PEERS,
    READINESS,
    derive_budget,
)
from comfreywind.decisions.transfer_limit import choose_bulk_reads
from comfreywind.exposed_metrics import ExposedMetrics
from comfreywind.http.client_limits import ClientLimits
from comfreywind.http.server import serve_app
from comfreywind.http.service_probe import ServiceProbe
from comfreywind.intake.job_app import JobApp
from comfreywind.intake.job_notifier import JobNotifier
from comfreywind.intake.job_store import JobStore
from comfreywind.intake.peer_relay import PeerRelay
from comfreywind.intake.scarcity_gate import ScarcityGate
from comfreywind.jobs.tables import TABLE_TERM, TERM_KEY, TERM_PARTITION
from comfreywind.log_handler import BoundedHandler
from comfreywind.logs import configure_logs
from comfreywind.node.peer_app import PeerApp
from comfreywind.node.peer_directory import PeerDirectory
from comfreywind.node.ready_app import ReadyApp
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import StoredRow
from comfreywind.scheduling.holder import Holder
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.term_keeper import HeldTerm, TermKeeper
from comfreywind.settings.address import Address
from comfreywind.settings.node import NodeSettings
from comfreywind.signals import set_on_termination
from comfreywind.supervision import supervise

# Longest wait of one read of the change feed. Its reply confirms that the rules are current, so the
# wait bounds how old they may be.
FEED_WAIT_S = 0.7
# The load balancer checks readiness once a second and removes a node after two failed checks. The
# node serves on for this time after it has reported not to be ready.
BALANCER_REMOVAL_S = 2.4
# Time for calls in flight to finish after the server has stopped accepting connections.
SHUTDOWN_GRACE_S = 2.0
STANDARD_ERROR_FD = 2

log = logging.getLogger('comfreywind.node')


class Node:
    """The components of a node and their lifecycle."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        """Create the components; nothing runs until `run` or `run_components` is called."""
        self._settings = settings
        self._clock = clock
        self._metrics = ExposedMetrics()
        self._rows = RowsClient(
            settings.store_address,
            FEED_WAIT_S,
            clock,
            self._metrics,
            choose_bulk_reads(settings.link_mbps),
        )
        self._rules = RulesFollower(
            self._rows, clock, self._metrics, settings.timings.rules_apply_s
        )
        self._keeper = TermKeeper(self._rows, settings.name, clock, settings.cores)
        self._probe = ServiceProbe(
            self._rows.contact,
            partial(self._rows.read_row, TABLE_TERM, TERM_PARTITION, TERM_KEY),
        )
        self._holder: Holder | None = None
        self._notifier = JobNotifier(self._find_holder)
        store = JobStore(
            self._rows,
            settings.store_limits.row_bytes,
            settings.timings.status_retention_s,
            clock,
            self._announce_job,
        )
        self._directory: PeerDirectory | None = None
        relay: PeerRelay | None = None
        if settings.peer_address is not None:
            self._directory = PeerDirectory(
                self._rows, settings.name, settings.data_centre, settings.peer_address, clock
            )
            relay = PeerRelay(self._directory.list_peers, clock, self._metrics)
        gate = ScarcityGate(
            self._keeper, self._rules, store, clock, self._metrics, random.Random(settings.name)
        )
        budget = derive_budget(settings.memory_mb, limit_descriptors(settings.max_fds))
        self._limits = ClientLimits(budget, self._metrics)
        parsed = self._limits.parsed
        self._job_app = JobApp(
            self._rules, store, self._keeper, clock, self._metrics, relay, gate, parsed
        )
        # Calls that another node has handed over are not handed over again.
        self._relayed_app = JobApp(
            self._rules, store, self._keeper, clock, self._metrics, gate=gate, parsed=parsed
        )
        self._stopping = False

    async def run(self) -> None:
        """Run until SIGTERM, then release the term and finish the calls in flight."""
        termination = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(set_on_termination, termination)
            nursery.start_soon(log_reload_signals)
            await self.run_components(termination)
            nursery.cancel_scope.cancel()

    async def run_components(self, termination: trio.Event) -> None:
        """Run until `termination` is set; signals are not handled."""
        async with trio.open_nursery() as nursery:
            for name, work in (
                ('rules', self._rules.run),
                ('term', self._keeper.run),
                ('probe', self._probe.run),
                ('holder', self._hold_terms),
                ('notices', self._notifier.run),
                ('clients', self._limits.run),
            ):
                nursery.start_soon(supervise, name, work, self._metrics)
            if self._directory is not None:
                nursery.start_soon(supervise, 'peers', self._directory.run, self._metrics)
            await self._serve(termination)
            nursery.cancel_scope.cancel()

    def is_ready(self) -> bool:
        """Return whether the node is ready for connections.

        It is not while it is stopping or its rules may be out of date.
        """
        return not self._stopping and self._rules.is_fresh()

    def _find_holder(self) -> Address | None:
        """Return the address of the node that holds the term, or None if it is not known."""
        if self._directory is None:
            return None
        return self._directory.list_peers().get(self._keeper.lease_row.holder)

    def _announce_job(self, row: StoredRow) -> None:
        if self._holder is None:
            self._notifier.notify(row)
        else:
            self._holder.apply_accepted_row(row)

    def _apply_notice(self, row: StoredRow) -> None:
        if self._holder is not None:
            self._holder.apply_accepted_row(row)

    async def _serve(self, termination: trio.Event) -> None:
        shutdown = trio.Event()
        async with trio.open_nursery() as servers:
            ready_app = ReadyApp(self.is_ready)
            settings = self._settings
            serve_callers = partial(serve_app, port=self._limits.find_port(CALLERS))
            servers.start_soon(
                serve_callers, self._job_app, settings.caller_address, shutdown, SHUTDOWN_GRACE_S
            )
            serve_ready = partial(serve_app, port=self._limits.find_port(READINESS))
            servers.start_soon(serve_ready, ready_app, settings.ready_address, shutdown, 0)
            servers.start_soon(self._serve_peers, shutdown)
            servers.start_soon(self._serve_metrics, shutdown)
            await termination.wait()
            log.info(
                'node is stopping: reports not ready, releases the term, finishes calls in flight'
            )
            self._stopping = True
            self._job_app.closing = True
            self._relayed_app.closing = True
            # Released concurrently: a slow store must not use up the time that the platform grants
            # a node to stop.
            servers.start_soon(self._keeper.release)
            await trio.sleep(BALANCER_REMOVAL_S)
            shutdown.set()
        log.info('node has stopped serving')

    async def _serve_peers(self, shutdown: trio.Event) -> None:
        address = self._settings.peer_address
        if address is None:
            return
        app = PeerApp(self._relayed_app, self._apply_notice)
        port = self._limits.find_port(PEERS)
        try:
            await serve_app(app, address, shutdown, SHUTDOWN_GRACE_S, port=port)
        except ListenError as error:
            log.warning('calls of other nodes are not served: %s', error)

    async def _serve_metrics(self, shutdown: trio.Event) -> None:
        address = self._settings.metrics_address
        if address is None:
            return
        port = self._limits.find_port(METRICS)
        try:
            await serve_app(self._metrics, address, shutdown, 0, port=port)
        except ListenError as error:
            # The platform assigns the ports anew each day, so the address may be in use. Jobs are
            # served nevertheless.
            log.warning('metrics are not served, the node runs without them: %s', error)

    async def _hold_terms(self) -> None:
        """Run a holder for each term that this node takes."""
        while True:
            term = self._keeper.held
            if term is None:
                await self._keeper.wait_for_change()
                continue
            await self._rules.wait_loaded()
            holder = Holder(
                term,
                self._settings,
                self._rows,
                self._rules,
                self._keeper,
                self._clock,
                self._metrics,
            )
            try:
                await self._hold_term(term, holder)
            except Exception:
                # A new Holder in the same term would assign the same run ids again.
                self._keeper.step_down('unexpected error')
                raise

    async def _hold_term(self, term: HeldTerm, holder: Holder) -> None:
        """Run the holder until this node no longer holds the term."""
        self._holder = holder
        try:
            await self._run_holder(term, holder)
        finally:
            self._holder = None

    async def _run_holder(self, term: HeldTerm, holder: Holder) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(holder.run)
            while self._keeper.held is term:
                await self._keeper.wait_for_change()
            nursery.cancel_scope.cancel()


def limit_descriptors(max_fds: int) -> int:
    """Return how many descriptors the process may open by its settings and by the kernel."""
    kernel_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max_fds if kernel_limit == resource.RLIM_INFINITY else min(max_fds, kernel_limit)


async def log_reload_signals() -> None:
    """Log each SIGHUP and do nothing else.

    The settings file is read once at start; rules, which change while a node runs, come from the
    store.
    """
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            log.info('SIGHUP received: ignored, the settings file is read only at start')


async def run_node(settings: NodeSettings) -> None:
    """Run a node with the system clock and log to standard error."""
    configure_logs('human', output=BoundedHandler(STANDARD_ERROR_FD))
    log.info('node %s starts in data centre %s', settings.name, settings.data_centre)
    await Node(settings, SystemClock()).run()
