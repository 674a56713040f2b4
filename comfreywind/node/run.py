"""Runs a node: serves callers and competes for the holder's term."""

import logging
import signal

import trio

from comfreywind.clock import Clock, SystemClock
from comfreywind.errors import ListenError
from comfreywind.exposed_metrics import ExposedMetrics
from comfreywind.http.server import serve_app
from comfreywind.intake.job_app import JobApp
from comfreywind.intake.job_store import JobStore
from comfreywind.log_handler import BoundedHandler
from comfreywind.logs import configure_logs
from comfreywind.node.ready_app import ReadyApp
from comfreywind.platform.rows_client import RowsClient
from comfreywind.scheduling.holder import Holder
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.term_keeper import HeldTerm, TermKeeper
from comfreywind.settings.node import NodeSettings
from comfreywind.signals import set_on_termination
from comfreywind.supervision import supervise

# A feed that waits is confirmed when it is answered, so the wait bounds how old the rules may be.
FEED_WAIT_S = 0.7
# The balancer asks once a second and takes a node out after two misses.
READINESS_NOTICE_S = 2.4
GRACEFUL_S = 2.0
STANDARD_ERROR = 2

log = logging.getLogger('comfreywind.node')


class Node:
    """The parts of a node."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        """Wire the parts together."""
        self._settings = settings
        self._clock = clock
        self._metrics = ExposedMetrics()
        self._rows = RowsClient(settings.store_address, FEED_WAIT_S, clock, self._metrics)
        self._rules = RulesFollower(self._rows, clock)
        self._keeper = TermKeeper(self._rows, settings.name, clock, settings.cores)
        store = JobStore(
            self._rows,
            settings.store_limits.row_bytes,
            settings.timings.status_retention_s,
            clock,
        )
        self._job_app = JobApp(self._rules, store, self._keeper, clock, self._metrics)
        self._stopping = False

    async def run(self) -> None:
        """Run until SIGTERM, then hand the term over and finish what is in flight."""
        termination = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(set_on_termination, termination)
            nursery.start_soon(note_reloads)
            await self.run_parts(termination)
            nursery.cancel_scope.cancel()

    async def run_parts(self, termination: trio.Event) -> None:
        """Run until `termination` is set, without a look at signals."""
        async with trio.open_nursery() as nursery:
            for name, work in (
                ('rules', self._rules.run),
                ('term', self._keeper.run),
                ('holder', self._hold_terms),
            ):
                nursery.start_soon(supervise, name, work, self._metrics)
            await self._serve(termination)
            nursery.cancel_scope.cancel()

    def is_ready(self) -> bool:
        """Return whether new connections are welcome."""
        return not self._stopping and self._rules.is_fresh()

    async def _serve(self, termination: trio.Event) -> None:
        shutdown = trio.Event()
        async with trio.open_nursery() as servers:
            ready_app = ReadyApp(self.is_ready)
            settings = self._settings
            servers.start_soon(
                serve_app, self._job_app, settings.caller_address, shutdown, GRACEFUL_S
            )
            servers.start_soon(serve_app, ready_app, settings.ready_address, shutdown, 0)
            servers.start_soon(self._serve_metrics, shutdown)
            await termination.wait()
            log.info('stopping: taken out of rotation')
            self._stopping = True
            self._job_app.closing = True
            # A slow store must not take up the time that the platform grants for stopping.
            servers.start_soon(self._keeper.release)
            await trio.sleep(READINESS_NOTICE_S)
            shutdown.set()
        log.info('stopped')

    async def _serve_metrics(self, shutdown: trio.Event) -> None:
        address = self._settings.metrics_address
        if address is None:
            return
        try:
            await serve_app(self._metrics, address, shutdown, 0)
        except ListenError as error:
            # Jobs are served all the same: the platform deals out ports anew each day.
            log.warning('metrics are not served: %s', error)

    async def _hold_terms(self) -> None:
        """Do the holder's work while this node has the term."""
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
                # Another holder of the same term would give out its run ids again.
                self._keeper.step_down('unexpected error')
                raise

    async def _hold_term(self, term: HeldTerm, holder: Holder) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(holder.run)
            while self._keeper.held is term:
                await self._keeper.wait_for_change()
            nursery.cancel_scope.cancel()


async def note_reloads() -> None:
    """Log SIGHUP: the settings that can change while a node runs come from the store."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            log.info('SIGHUP: settings file may have changed; nothing in it is reloaded')


async def run_node(settings: NodeSettings) -> None:
    """Run a node with the clocks of the system."""
    configure_logs('human', output=BoundedHandler(STANDARD_ERROR))
    log.info('node %s starts in %s', settings.name, settings.data_centre)
    await Node(settings, SystemClock()).run()
