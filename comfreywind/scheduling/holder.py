"""Schedules all pools while this node holds the term."""

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.pool_size import DEFAULT_POLICY
from comfreywind.errors import StoreUnavailableError
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job_codec import decode_accepted, decode_progress
from comfreywind.jobs.progress import Progress
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    INTAKE_PARTS,
    PROGRESS_PARTS,
    TABLE_INTAKE,
    TABLE_PROGRESS,
)
from comfreywind.metrics import Metrics
from comfreywind.platform.advice_client import AdviceClient
from comfreywind.platform.concurrent_calls import run_together
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import StoredRow
from comfreywind.platform.target_client import TargetClient
from comfreywind.platform.target_codec import decode_target
from comfreywind.platform.vm_client import VmClient
from comfreywind.platform.wire import TABLE_SERVERS
from comfreywind.scheduling.advice_keeper import AdviceKeeper
from comfreywind.scheduling.board import Board
from comfreywind.scheduling.job_retention import RETENTION_MARGIN_S, JobRetention
from comfreywind.scheduling.order_reservations import OrderReservations
from comfreywind.scheduling.orders import Order
from comfreywind.scheduling.planner import Planner
from comfreywind.scheduling.pool_keeper import PoolKeeper
from comfreywind.scheduling.pool_sizer import PoolSizer
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.roster import Roster
from comfreywind.scheduling.row_feed import RowFeed
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.settlement import Settlement
from comfreywind.scheduling.target_link import LONGEST_WAIT_S, TargetLink
from comfreywind.scheduling.term_keeper import HeldTerm, TermKeeper
from comfreywind.scheduling.maintenance_keeper import MaintenanceKeeper
from comfreywind.scheduling.vm_watch import VmWatch
from comfreywind.settings.address import Address
from comfreywind.settings.node import NodeSettings
from comfreywind.supervision import supervise

# Changes that come within this time are planned together.
GATHER_S = 0.004
# Planning takes at most a third of the processor, the rest is for orders and reports.
PLAN_PAUSE_RATIO = 2
TICK_S = 0.1
RETRY_S = 0.2
# The users fetch metrics every 5 s.
LEVELS_INTERVAL_S = 1.0
MS_PER_S = 1000

log = logging.getLogger('comfreywind.holder')


class Holder:
    """The work of one term."""

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
        """Prepare the term; nothing is read or ordered yet."""
        self._metrics = metrics
        self._term = term
        self._settings = settings
        self._rows = rows
        self._rules = rules
        self._keeper = keeper
        self._clock = clock
        self.board = Board(term.epoch)
        self._planner = Planner(self.board, metrics=metrics)
        self.journal = ProgressJournal(rows, self.board)
        self._reservations = OrderReservations(
            rows, term, settings.timings.order_reservation_s, clock
        )
        self._links: dict[str, TargetLink] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._old_progress: dict[str, tuple[Progress, int]] = {}
        self._progress_loaded = trio.Event()
        self._unreadable_jobs: set[str] = set()
        self._roster = Roster(rows, self.board, clock, self._wake_planner, self._may_order)
        self._settlement = Settlement(
            term, rows, self.board, self.journal, self._roster, clock, self._is_dead
        )
        self._watch: VmWatch | None = None
        self._retention = JobRetention(
            rows,
            self.board,
            settings.timings.status_retention_s + RETENTION_MARGIN_S,
            clock,
            self._may_order,
        )

    async def run(self) -> None:
        """Load the state, adopt what runs, then plan until cancelled."""
        intake = RowFeed(
            self._rows,
            TABLE_INTAKE,
            (*INTAKE_PARTS, *PROGRESS_PARTS),
            self._take_intake,
            self._clock,
            after=self._progress_loaded,
            metrics=self._metrics,
        )
        targets = RowFeed(
            self._rows,
            TABLE_SERVERS,
            ('',),
            self._take_target,
            self._clock,
            self._note_listed,
            # A run of a job that is not known would be stopped.
            after=intake.loaded,
            metrics=self._metrics,
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            # All is read at the same time, as a slow store takes up to a second for an answer.
            nursery.start_soon(self._load)
            self._start('journal', self.journal.run)
            self._start('intake feed', intake.run)
            self._start('targets feed', targets.run)
            await targets.loaded.wait()
            log.info(
                'term %d: %d jobs, %d targets',
                self._term.epoch,
                len(self.board.jobs),
                len(self.board.targets),
            )
            self._start('tick', self._tick)
            self._start('levels', self._note_levels)
            self._start('roster', self._roster.run)
            self._start('retention', self._retention.run)
            self._start('settling', partial(self._settlement.run, self._wake_planner))
            if self._settings.advice_address is not None:
                client = AdviceClient(self._settings.advice_address)
                advice = AdviceKeeper(client, self._planner, self._clock, self._wake_planner)
                self._start('advice', advice.run)
            if self._settings.vm_service_address is not None:
                self._start_vm_tasks(self._settings.vm_service_address)
            await supervise('planner', self._plan_forever, self._metrics)

    def publish(self, orders: list[Order]) -> None:
        """Send orders and plan again soon."""
        self._wake.set()
        self._send(orders)

    def _may_order(self) -> bool:
        """Return whether orders of this term may be sent at this moment."""
        return self._keeper.held is self._term and self._keeper.is_valid()

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
        while True:
            try:
                await self._read_state()
            except StoreUnavailableError as error:
                log.info('term %d: state not read yet: %s', self._term.epoch, error)
                await trio.sleep(RETRY_S)
            else:
                self._progress_loaded.set()
                return

    async def _read_state(self) -> None:
        await run_together((self._read_progress, self._roster.load, self._reservations.load))

    async def _read_progress(self) -> None:
        for page in await self._rows.read_parts(TABLE_PROGRESS, PROGRESS_PARTS):
            for row in page.rows:
                self._note_old_progress(row)

    def _note_old_progress(self, row: StoredRow) -> None:
        if row.payload is None:
            return
        try:
            self._old_progress[row.key] = (decode_progress(row.payload), row.version)
        except RowFormatError as error:
            # What the job has done is not known, so none of its tasks may start.
            self._unreadable_jobs.add(row.key)
            log.warning('job %s is not scheduled: %s', row.key, error)

    def _start_vm_tasks(self, address: Address) -> None:
        client = VmClient(address, self._may_order_vm)
        self._watch = VmWatch(client, self.board, self._clock)
        upkeep = self._make_upkeep(client, self._watch)
        pools = self._make_pools(client, self._watch)
        self._start('upkeep', upkeep.run)
        self._start('pools', pools.run)
        needed = partial(self._needs_list, upkeep, pools)
        self._start('VM list', partial(self._watch.run, needed, self._wake_planner))

    def _is_dead(self, target_id: str) -> bool:
        """Return whether the list of VMs shows that the target's life is over."""
        return self._watch is not None and self._watch.is_dead(target_id, self._term.taken_s)

    def _needs_list(self, upkeep: MaintenanceKeeper, pools: PoolKeeper) -> bool:
        return upkeep.is_busy() or pools.is_busy() or self._has_doubt()

    def _has_doubt(self) -> bool:
        """Return whether the list of VMs could tell that runs have ended with their VM."""
        if not self._settlement.done:
            return True
        return any(record.silent and record.runs for record in self.board.targets.values())

    def _make_pools(self, client: VmClient, watch: VmWatch) -> PoolKeeper:
        return PoolKeeper(
            self._term,
            self._settings.name,
            self._reservations,
            client,
            watch,
            self._rules,
            self._keeper,
            PoolSizer(self.board, DEFAULT_POLICY, self._reservations.may_reserve),
            self._clock,
        )

    def _wake_planner(self) -> None:
        self._wake.set()

    def _make_upkeep(self, client: VmClient, watch: VmWatch) -> MaintenanceKeeper:
        return MaintenanceKeeper(
            self._term,
            self._settings.name,
            self._reservations,
            self._rows,
            client,
            watch,
            self._rules,
            self._keeper,
            self.board,
            self._clock,
            self.publish,
        )

    # Jobs

    def _take_intake(self, row: StoredRow) -> None:
        if row.payload is None:
            self._retention.note_removed(row.key)
            return
        if row.key.endswith(CANCEL_SUFFIX):
            self.board.cancel_job(row.key.removesuffix(CANCEL_SUFFIX))
            self._wake.set()
            return
        try:
            accepted = decode_accepted(row.payload)
        except RowFormatError as error:
            log.warning('job %s is not read: %s', row.key, error)
            return
        if row.key in self._unreadable_jobs:
            return
        # A job has no progress row before its first change.
        progress, version = self._old_progress.pop(row.key, (Progress(), 0))
        if isinstance(accepted, EndedJob):
            self._retention.note_ended(row.key, row.version, version)
            return
        new = row.version > self._term.taken_version
        self._retention.note_accepted(row.key, row.version)
        self.board.add_job(accepted, progress, version, settled=new or self._settlement.done)
        self._wake.set()

    # Targets

    def _note_listed(self, rows: tuple[StoredRow, ...]) -> None:
        listed = {row.key for row in rows}
        for target_id, record in self.board.targets.items():
            if target_id not in listed:
                record.leaving = True

    def _take_target(self, row: StoredRow) -> None:
        record = self.board.targets.get(row.key)
        if row.payload is None:
            if record is not None:
                log.info('target %s: its entry is gone', row.key)
                record.leaving = True
            return
        entry = decode_target(row.key, row.payload)
        if entry is None:
            return
        if record is None or record.entry != entry or record.leaving:
            record = self.board.set_target(entry, self._clock.read_monotonic_s())
            record.leaving = False
            self._wake.set()
        if row.key not in self._links:
            self._start_link(row.key)

    def _start_link(self, target_id: str) -> None:
        record = self.board.targets[target_id]
        if self._nursery is None:
            return
        link = TargetLink(
            record,
            TargetClient(target_id, record.entry.address, LONGEST_WAIT_S, self._may_order),
            self.board,
            self.journal,
            self._keeper,
            self._clock,
            self._settings.timings.lease_limit_s,
            self.publish,
            self._metrics,
        )
        self._links[target_id] = link
        self._start('link', partial(self._run_link, target_id, link))

    async def _run_link(self, target_id: str, link: TargetLink) -> None:
        await link.run()
        del self._links[target_id]
        record = self.board.targets.get(target_id)
        if record is not None and record.leaving and not record.runs:
            del self.board.targets[target_id]

    # Planning

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            self._keeper.own_pending = self.board.count_pending()
            self._wake.set()

    async def _note_levels(self) -> None:
        while True:
            await trio.sleep(LEVELS_INTERVAL_S)
            self._set_levels()

    def _set_levels(self) -> None:
        targets = self.board.targets.values()
        self._metrics.set_level('jobs.open', len(self.board.open_jobs))
        self._metrics.set_level('jobs.kept', len(self.board.jobs))
        self._metrics.set_level(
            'tasks.waiting', sum(len(record.waiting) for record in self.board.open_jobs.values())
        )
        self._metrics.set_level('runs', sum(len(target.runs) for target in targets))
        self._metrics.set_level('targets', len(targets))
        self._metrics.set_level('targets.silent', sum(target.silent for target in targets))

    async def _plan_forever(self) -> None:
        pause_s = GATHER_S
        while True:
            await self._wake.wait()
            await trio.sleep(pause_s)
            self._wake = trio.Event()
            started_s = trio.current_time()
            self._roster.update()
            if self._keeper.is_valid():
                self._plan()
                self._metrics.record_duration('plan', trio.current_time() - started_s)
            pause_s = max(GATHER_S, PLAN_PAUSE_RATIO * (trio.current_time() - started_s))

    def _plan(self) -> None:
        now_s = self._clock.read_monotonic_s()
        now_ms = self._clock.read_utc().timestamp() * MS_PER_S
        if self._rules.rules is not None:
            self.board.rules = self._rules.rules
        self._send(self.board.stop_closed_jobs(now_s))
        self._send(self.board.stop_broken_gangs(now_s))
        self._send(self._planner.plan(now_s, now_ms))
        if self.board.changed_jobs:
            self.journal.wake()
