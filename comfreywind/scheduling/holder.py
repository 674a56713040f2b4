"""Schedules all pools while this node holds the term."""

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.pool_size import DEFAULT_POLICY
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job_codec import decode_intake_row, decode_progress
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    INTAKE_PARTITIONS,
    PROGRESS_PARTITIONS,
    TABLE_INTAKE,
    TABLE_PROGRESS,
)
from comfreywind.jobs.target_entry import TargetEntry
from comfreywind.metrics import Metrics
from comfreywind.platform.advice_client import AdviceClient
from comfreywind.platform.concurrent_calls import collect_failures
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import StoredRow
from comfreywind.platform.target_client import TargetClient
from comfreywind.platform.target_codec import decode_target
from comfreywind.platform.vm_client import VmClient
from comfreywind.platform.wire import TABLE_SERVERS
from comfreywind.scheduling.advice_keeper import AdviceKeeper
from comfreywind.scheduling.evacuation import Evacuation
from comfreywind.scheduling.interference_keeper import InterferenceKeeper
from comfreywind.scheduling.job_retention import RETENTION_MARGIN_S, JobRetention
from comfreywind.scheduling.maintenance_keeper import MaintenanceKeeper
from comfreywind.scheduling.open_start_keeper import OpenStartKeeper
from comfreywind.scheduling.order_reservations import OrderReservations
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.planner import Planner
from comfreywind.scheduling.pool_keeper import PoolKeeper
from comfreywind.scheduling.pool_sizer import PoolSizer
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.row_feed import RowFeed
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.settlement import Reconciliation
from comfreywind.scheduling.target_link import MAX_HOLD_WAIT_S, TargetLink
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.target_registry import TargetRegistry
from comfreywind.scheduling.term_keeper import HeldTerm, TermKeeper
from comfreywind.scheduling.vm_watch import VmWatch
from comfreywind.scheduling.wait_publisher import WaitPublisher
from comfreywind.settings.address import Address
from comfreywind.settings.node import NodeSettings
from comfreywind.supervision import supervise

# Changes that come within this time share one plan.
BATCH_WINDOW_S = 0.004
# After a plan, the planner pauses for this many times the plan's duration. So planning takes at
# most a third of the processor time, and the rest is left for orders and reports.
PLAN_PAUSE_RATIO = 2
# The planner also runs at this interval, because cooldowns end and occurrences become due without
# an event.
TICK_INTERVAL_S = 0.1
RETRY_S = 0.2
# Well below the 5 s at which the users fetch metrics.
LEVELS_INTERVAL_S = 1.0
MS_PER_S = 1000

log = logging.getLogger('comfreywind.holder')


class Holder:
    """Schedules the jobs of all pools during one term."""

    def __init__(
        self,
        term: HeldTerm,
        settings: NodeSettings,
        rows: RowsClient,
        rules: RulesFollower,
        keeper: TermKeeper,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create the components of the term; nothing is read or ordered before `run`."""
        self._metrics = metrics
        self._term = term
        self._settings = settings
        self._rows = rows
        self._rules = rules
        self._keeper = keeper
        self._clock = clock
        self.scheduler_state = SchedulerState(term.first_fence, settings.timings.lease_limit_s)
        self._evacuation = Evacuation(
            rows,
            rules,
            self.scheduler_state,
            clock,
            settings.timings.evacuate_s,
            self._may_order,
            self.submit_orders,
            self._poll_anew,
        )
        self._planner = Planner(
            self.scheduler_state, metrics=metrics, may_start=self._evacuation.may_start_on
        )
        self.journal = ProgressJournal(rows, self.scheduler_state, settings.store_limits.row_bytes)
        self._reservations = OrderReservations(
            rows, term, settings.timings.order_reservation_s, clock
        )
        self._links: dict[str, TargetLink] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._stored_progress: dict[str, tuple[Progress, int]] = {}
        self._progress_loaded = trio.Event()
        self._intake_loaded = trio.Event()
        self._unreadable_progress_ids: set[str] = set()
        self._registry = TargetRegistry(
            rows, self.scheduler_state, clock, self._wake_planner, self._may_order
        )
        self._open_starts = OpenStartKeeper(
            rows,
            self.scheduler_state.open_starts,
            clock,
            self._may_order,
            settings.store_limits.row_bytes,
        )
        self._reconciliation = Reconciliation(
            term, rows, self.scheduler_state, self.journal, self._registry, clock, self._is_gone
        )
        self._watch: VmWatch | None = None
        self._pool_sizer: PoolSizer | None = None
        self._waits = WaitPublisher(
            term, self.scheduler_state, keeper, self._count_arriving, clock, metrics
        )
        self._retention = JobRetention(
            rows,
            self.scheduler_state,
            settings.timings.status_retention_s + RETENTION_MARGIN_S,
            clock,
            self._may_order,
        )
        self._interference = InterferenceKeeper(
            self.scheduler_state,
            self._may_order,
            self._evacuation.may_start_on,
            self.submit_orders,
            clock,
            metrics,
        )

    async def run(self) -> None:
        """Load the stored state, adopt existing runs, then plan until cancelled."""
        intake = RowFeed(
            self._rows,
            TABLE_INTAKE,
            (*INTAKE_PARTITIONS, *PROGRESS_PARTITIONS),
            self._handle_intake_row,
            self._clock,
            deliver_after=self._progress_loaded,
            metrics=self._metrics,
        )
        targets = RowFeed(
            self._rows,
            TABLE_SERVERS,
            ('',),
            self._handle_target_row,
            self._clock,
            self._mark_unlisted_targets,
            # Targets report runs, and a run of a job that is not loaded yet would be stopped.
            deliver_after=intake.loaded,
            metrics=self._metrics,
        )
        self._intake_loaded = intake.loaded
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            # All tables are read at the same time, because a slow store takes up to a second for
            # each answer.
            nursery.start_soon(self._load)
            self._start('evacuation requests', self._evacuation.watch.run)
            self._start('journal', self.journal.run)
            self._start('intake feed', intake.run)
            self._start('targets feed', targets.run)
            await targets.loaded.wait()
            log.info(
                'term %d: state loaded with %d jobs and %d targets, scheduling starts',
                self._term.epoch,
                len(self.scheduler_state.jobs),
                len(self.scheduler_state.targets),
            )
            self._start('tick', partial(self._tick, intake))
            self._start('levels', self._report_levels)
            self._start('waits', self._waits.run)
            self._start('roster', self._registry.run)
            self._start('open starts', self._open_starts.run)
            self._start('retention', self._retention.run)
            self._start('interference', self._interference.run)
            self._start('settling', partial(self._reconciliation.run, self._wake_planner))
            if self._settings.advice_address is not None:
                client = AdviceClient(self._settings.advice_address)
                advice = AdviceKeeper(client, self._planner.advice, self._clock, self._wake_planner)
                self._start('advice', advice.run)
            if self._settings.vm_service_address is not None:
                self._start_vm_tasks(self._settings.vm_service_address)
            self._start('evacuation', partial(self._evacuation.run, self._has_reconciled))
            await supervise('planner', self._plan_forever, self._metrics)

    def submit_orders(self, orders: list[Order]) -> None:
        """Send orders to their targets and have the planner run soon."""
        self._wake.set()
        self._send(orders)

    def apply_accepted_row(self, row: StoredRow) -> None:
        """Add an accepted job that another node has told of before the feed of the store has.

        Until all stored jobs are known, the notice is ignored: the job may have been read already
        and not be delivered yet.
        """
        if self._intake_loaded.is_set() and row.key not in self.scheduler_state.jobs:
            self._handle_intake_row(row)

    def _may_order(self) -> bool:
        """Return whether this holder may send orders at this moment."""
        return self._keeper.held is self._term and self._keeper.is_valid()

    def _may_send(self, record: TargetRecord, fence: int) -> bool:
        """Return whether an order with that fence may be sent to a target at this moment.

        An order that was made before the fence was raised has a lease on another clock.
        """
        return self._may_order() and fence == record.doubt.fence

    def _may_send_start(self, record: TargetRecord, fence: int) -> bool:
        """Return whether a start with that fence may be sent to a target at this moment."""
        return self._evacuation.may_send_start(record) and self._may_send(record, fence)

    def _has_reconciled(self) -> bool:
        return self._reconciliation.done

    def _poll_anew(self, target_id: str) -> None:
        link = self._links.get(target_id)
        if link is not None:
            link.poll_anew()

    def _may_order_vm(self, vm: str) -> bool:
        """Return whether an order for the VM may be sent at this moment."""
        return self._may_order() and self._reservations.may_send(vm)

    def _start(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(supervise, name, work, self._metrics)

    def _send(self, orders: list[Order]) -> None:
        for order in orders:
            link = self._links.get(order.target_id)
            if link is not None and self._nursery is not None:
                self._nursery.start_soon(link.send, order)

    async def _load(self) -> None:
        """Read the state of the earlier holder; what can't be read is read again by itself."""
        missing: list[Callable[[], Awaitable[None]]] = [
            self._registry.load,
            self._reservations.load,
            partial(self._open_starts.load, self._term.taken_s),
            self._read_progress,
        ]
        while missing:
            failures = await collect_failures(missing)
            missing = list(failures)
            for error in failures.values():
                log.info('term %d: state not read, trying again: %s', self._term.epoch, error)
            if missing:
                await trio.sleep(RETRY_S)
        self._progress_loaded.set()

    async def _read_progress(self) -> None:
        for page in await self._rows.read_partitions(TABLE_PROGRESS, PROGRESS_PARTITIONS):
            for row in page.rows:
                self._keep_stored_progress(row)

    def _keep_stored_progress(self, row: StoredRow) -> None:
        if row.payload is None:
            return
        try:
            self._stored_progress[row.key] = (decode_progress(row.payload), row.version)
        except RowFormatError as error:
            # It is unknown which tasks of the job are done, so none of them may start.
            self._unreadable_progress_ids.add(row.key)
            log.warning(
                'job %s: unreadable progress row, its tasks are not started: %s', row.key, error
            )

    def _start_vm_tasks(self, address: Address) -> None:
        client = VmClient(address, self._may_order_vm)
        self._watch = VmWatch(client, self.scheduler_state, self._clock)
        self._evacuation.use_vm_list(self._watch)
        upkeep = self._make_maintenance_keeper(client, self._watch)
        pools = self._make_pool_keeper(client, self._watch)
        self._start('upkeep', upkeep.run)
        self._start('pools', pools.run)
        needed = partial(self._needs_vm_list, self._watch, upkeep, pools)
        self._start('VM list', partial(self._watch.run, needed, self._wake_planner))

    def _is_gone(self, target_id: str) -> bool:
        """Return whether the VM list shows that this incarnation of the target has ended."""
        return self._watch is not None and self._watch.is_dead(target_id, self._term.taken_s)

    def _needs_vm_list(self, watch: VmWatch, upkeep: MaintenanceKeeper, pools: PoolKeeper) -> bool:
        checks_targets = watch.needs_live_check() or self._has_unconfirmed_runs()
        busy = upkeep.is_busy() or pools.is_busy() or self._evacuation.needs_vm_list()
        return busy or checks_targets

    def _has_unconfirmed_runs(self) -> bool:
        """Return whether the VM list could show that runs have ended with their VM."""
        if not self._reconciliation.done or self.scheduler_state.open_starts.by_key:
            return True
        return any(
            record.silent and record.runs for record in self.scheduler_state.targets.values()
        )

    def _count_arriving(self) -> dict[str, int]:
        return {} if self._pool_sizer is None else self._pool_sizer.count_arriving()

    def _make_pool_keeper(self, client: VmClient, watch: VmWatch) -> PoolKeeper:
        self._pool_sizer = PoolSizer(
            self.scheduler_state,
            DEFAULT_POLICY,
            self._reservations.may_reserve,
            self._evacuation.list_data_centres,
            self._evacuation.count_vms_for_moves,
        )
        return PoolKeeper(
            self._term,
            self._settings.name,
            self._reservations,
            client,
            watch,
            self._rules,
            self._keeper,
            self._pool_sizer,
            self._clock,
        )

    def _wake_planner(self) -> None:
        self._wake.set()

    def _make_maintenance_keeper(self, client: VmClient, watch: VmWatch) -> MaintenanceKeeper:
        return MaintenanceKeeper(
            self._term,
            self._settings.name,
            self._reservations,
            self._rows,
            client,
            watch,
            self._rules,
            self._keeper,
            self.scheduler_state,
            self._clock,
            self.submit_orders,
        )

    # Rows of jobs

    def _handle_intake_row(self, row: StoredRow) -> None:
        if row.payload is None:
            self._retention.record_removed(row.key)
            return
        if row.key.endswith(CANCEL_SUFFIX):
            self.scheduler_state.cancel_job(row.key.removesuffix(CANCEL_SUFFIX))
            self._wake.set()
            return
        try:
            accepted = decode_intake_row(row.payload)
        except RowFormatError as error:
            log.warning('job %s: unreadable accepted row, the job is ignored: %s', row.key, error)
            return
        if row.key in self._unreadable_progress_ids:
            return
        # A job has no progress row before its first change.
        progress, version = self._stored_progress.pop(row.key, (Progress(), 0))
        if isinstance(accepted, EndedJob):
            self._retention.record_tombstone(row.key, row.version, version)
            return
        is_new = row.version > self._term.taken_version
        self._retention.record_accepted(row.key, row.version)
        self.scheduler_state.add_job(
            accepted, progress, version, reconciled=is_new or self._reconciliation.done
        )
        self._wake.set()

    # Rows of targets and their links

    def _mark_unlisted_targets(self, rows: tuple[StoredRow, ...]) -> None:
        listed = {row.key for row in rows}
        for target_id, record in self.scheduler_state.targets.items():
            if target_id not in listed:
                record.leaving = True

    def _handle_target_row(self, row: StoredRow) -> None:
        record = self.scheduler_state.targets.get(row.key)
        if row.payload is None:
            if record is not None:
                log.info('target %s: its entry was removed, it gets no new runs', row.key)
                record.leaving = True
                if record.entry.draining:
                    self.scheduler_state.open_starts.close_target(row.key)
            return
        entry = decode_target(row.key, row.payload)
        if entry is None:
            return
        if record is None or record.entry != entry or record.leaving:
            self._register(entry)
        if row.key not in self._links:
            self._start_link(row.key)

    def _register(self, entry: TargetEntry) -> None:
        """Add or update a target, and poll one that has restarted under its id."""
        known = self.scheduler_state.targets.get(entry.target_id)
        fence = None if known is None else known.doubt.fence
        record = self.scheduler_state.register_target(entry)
        record.leaving = False
        record.registered_s = self._clock.read_monotonic_s()
        self._wake.set()
        link = self._links.get(entry.target_id)
        if link is not None and record.doubt.fence != fence:
            link.poll_anew()

    def _start_link(self, target_id: str) -> None:
        record = self.scheduler_state.targets[target_id]
        if self._nursery is None:
            return
        link = TargetLink(
            record,
            TargetClient(
                target_id,
                record.entry.address,
                MAX_HOLD_WAIT_S,
                partial(self._may_send, record),
                partial(self._may_send_start, record),
            ),
            self.scheduler_state,
            self.journal,
            self._keeper,
            self._clock,
            self._settings.timings.lease_limit_s,
            self.submit_orders,
            self._metrics,
        )
        self._links[target_id] = link
        self._start('link', partial(self._run_link, target_id, link))

    async def _run_link(self, target_id: str, link: TargetLink) -> None:
        await link.run()
        del self._links[target_id]
        record = self.scheduler_state.targets.get(target_id)
        while record is not None and record.applied_number > record.stored_number:
            # The registry names the target as long as the store does not know of its ends.
            await self.journal.wait_until_stored(RETRY_S)
        if record is not None and record.leaving and not record.runs:
            del self.scheduler_state.targets[target_id]

    # Planning and metrics

    async def _tick(self, intake: RowFeed) -> None:
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            if intake.confirmed_s is not None:
                pending = self.scheduler_state.count_pending()
                self._keeper.publish_pending(self._term, pending, intake.confirmed_s)
            self._wake.set()

    async def _report_levels(self) -> None:
        while True:
            await trio.sleep(LEVELS_INTERVAL_S)
            self._set_levels()

    def _set_levels(self) -> None:
        targets = self.scheduler_state.targets.values()
        self._metrics.set_level('jobs.open', len(self.scheduler_state.open_jobs))
        self._metrics.set_level('jobs.kept', len(self.scheduler_state.jobs))
        self._metrics.set_level(
            'tasks.waiting',
            sum(len(record.waiting) for record in self.scheduler_state.open_jobs.values()),
        )
        self._metrics.set_level('runs', sum(len(target.runs) for target in targets))
        self._metrics.set_level('targets', len(targets))
        self._metrics.set_level('targets.silent', sum(target.silent for target in targets))

    async def _plan_forever(self) -> None:
        pause_s = BATCH_WINDOW_S
        while True:
            await self._wake.wait()
            await trio.sleep(pause_s)
            self._wake = trio.Event()
            started_s = trio.current_time()
            self._registry.update()
            if self._keeper.is_valid():
                self._plan()
                self._metrics.record_duration('plan', trio.current_time() - started_s)
            pause_s = max(BATCH_WINDOW_S, PLAN_PAUSE_RATIO * (trio.current_time() - started_s))

    def _plan(self) -> None:
        now_s = self._clock.read_monotonic_s()
        now_ms = self._clock.read_utc().timestamp() * MS_PER_S
        if self._rules.rules is not None:
            self.scheduler_state.rules = self._rules.rules
        self._send(self.scheduler_state.stop_closed_jobs(now_s))
        self._send(self.scheduler_state.stop_broken_gangs(now_s))
        self.scheduler_state.unknown_usage = self._reconciliation.compute_unknown_usage()
        self._evacuation.prepare_plan()
        self._send(self._planner.plan(now_s, now_ms))
        if self.scheduler_state.changed_jobs:
            self.journal.wake()
