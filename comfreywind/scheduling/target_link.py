"""Owns the connections to one target: extends its lease, reads its reports, sends orders."""

import logging
from collections.abc import Callable
from functools import singledispatchmethod

import trio

from comfreywind.clock import Clock
from comfreywind.errors import CallNotPermittedError, TargetReplacedError, TargetSilentError
from comfreywind.jobs.run_report import TargetReport
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.start_reply import StartReply
from comfreywind.metrics import Metrics
from comfreywind.platform.target_client import TargetClient
from comfreywind.scheduling.orders import Order, PaceOrder, StartOrder, StopOrder
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.run_record import RunState
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.term_keeper import TermKeeper
from comfreywind.supervision import note_unexpected

# Long enough that runs survive a change of the holder, short enough that the work of a lost target
# soon starts elsewhere.
RUN_LEASE_S = 5.0
# The longest time for which a target may keep a hold request open until it reports.
MAX_HOLD_WAIT_S = 1.0
# The same for a target with a run without a confirmed start, or with one that may crash it: only a
# report shows what became of it.
UNCONFIRMED_WAIT_S = 0.2
# A target reports early when a run ends, but not when a long-running task begins to serve. Until
# that is known, no other task of its step may be made unavailable.
WARM_UP_WAIT_S = 0.5
# A target without runs is polled less often, because only its reports after a silence matter.
IDLE_POLL_INTERVAL_S = 2.5
SILENT_RETRY_INTERVAL_S = 0.3
# A target that has restarted replies to the raised fence, but its report may be incomplete.
UNFENCED_RETRY_INTERVAL_S = 0.1
# Upper bound of the exponential backoff for a silent target without runs, whose VM has usually been
# moved.
MAX_SILENT_RETRY_INTERVAL_S = 2.4
MAX_STORE_WAIT_S = 0.25
STOP_RETRY_DELAY_S = 0.3
MS_PER_S = 1000

log = logging.getLogger('comfreywind.targets')


class TargetLink:
    """Polls one target and sends orders to it until the target is gone or the term has ended."""

    def __init__(
        self,
        record: TargetRecord,
        client: TargetClient,
        scheduler_state: SchedulerState,
        journal: ProgressJournal,
        keeper: TermKeeper,
        clock: Clock,
        lease_limit_s: float,
        submit_orders: Callable[[list[Order]], None],
        metrics: Metrics,
    ) -> None:
        """Serve the target of `record`; `submit_orders` gets the orders that its reports lead to.

        `lease_limit_s` is the longest lease that the platform allows.
        """
        self._metrics = metrics
        self._record = record
        self._client = client
        self._state = scheduler_state
        self._journal = journal
        self._keeper = keeper
        self._clock = clock
        self._lease_s = min(RUN_LEASE_S, lease_limit_s)
        self._submit_orders = submit_orders
        self._silent_retry_s = SILENT_RETRY_INTERVAL_S
        self._wake = trio.Event()
        self._poll_scope = trio.CancelScope()
        self._polled_fence: int | None = None

    async def run(self) -> None:
        """Poll the target and extend its lease until it is gone or another holder took over.

        The term is dropped when the target has restarted so often that its fences are used up.
        """
        target_id = self._record.entry.target_id
        try:
            while self._has_fence() and await self._poll_unless_abandoned():
                await self._pause()
        except TargetReplacedError as error:
            log.info('target %s: replaced, its link and its runs end: %s', target_id, error)
            self._record.leaving = True
            self._state.end_incarnation(self._record)
            self._state.open_starts.close_target(target_id)
            self._submit_orders([])
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(0.1):
                await self._client.close()

    def wake(self) -> None:
        """Have the target polled soon, because it has new runs."""
        self._wake.set()

    def poll_anew(self) -> None:
        """Abandon the poll under way, and poll with the fence that was raised since.

        A target that has restarted may leave the earlier poll open until its timeout.
        """
        self._poll_scope.cancel()
        self._wake.set()

    async def send(self, order: Order) -> None:
        """Send an order and apply the answer to the scheduler state."""
        try:
            orders = await self._send(order)
        except Exception as error:
            note_unexpected('order', error, self._metrics)
            orders = self._apply_unconfirmed(order)
        self._submit_orders(orders)

    @singledispatchmethod
    def _apply_unconfirmed(self, order: Order) -> list[Order]:
        """Handle an order whose outcome is unknown; by default no orders follow."""
        return []

    @_apply_unconfirmed.register
    def _apply_unconfirmed_start(self, order: StartOrder) -> list[Order]:
        now_s = self._clock.read_monotonic_s()
        return self._state.apply_start_answer(order, StartReply(StartAnswer.UNKNOWN), now_s)

    @_apply_unconfirmed.register
    def _apply_unconfirmed_stop(self, order: StopOrder) -> list[Order]:
        return self._state.apply_stop_answer(order, False, self._clock.read_monotonic_s())

    @singledispatchmethod
    async def _send(self, order: Order) -> list[Order]:
        raise TypeError(f'expected a StartOrder, StopOrder or PaceOrder, not {order!r}')

    @_send.register
    async def _send_start(self, order: StartOrder) -> list[Order]:
        expires_ms = self._compute_expiry_ms()
        wanted = self._record.doubt.settled and self._state.is_ordered(order)
        if expires_ms is None or not wanted or not self._keeper.is_valid():
            return self._state.apply_start_answer(
                order, StartReply(StartAnswer.EXPIRED), self._clock.read_monotonic_s()
            )
        sent_s = self._clock.read_monotonic_s()
        fence = self._record.doubt.fence
        reply = await self._start(order, fence, expires_ms)
        self._metrics.record_duration('starts', self._clock.read_monotonic_s() - sent_s)
        self._metrics.count(f'starts.{reply.answer.value}')
        if reply.answer is StartAnswer.FENCED:
            self._handle_higher_fence(fence)
        fence = self._record.doubt.fence
        orders = self._state.apply_start_answer(order, reply, self._clock.read_monotonic_s())
        self._wake.set()
        if self._record.doubt.fence > fence:
            self.poll_anew()
        return orders

    async def _start(self, order: StartOrder, fence: int, expires_ms: int) -> StartReply:
        """Send a start; the next holder learns of it if the reply takes long."""
        open_starts = self._state.open_starts
        sent_s = self._clock.read_monotonic_s()
        open_starts.record_sent(order.key, order.target_id, order.run_id, sent_s)
        try:
            return await self._client.start(
                order.key,
                order.run_id,
                order.spec,
                fence,
                expires_ms,
                order.checkpoint,
                order.ticket,
            )
        finally:
            open_starts.record_returned(order.key, order.run_id)

    @_send.register
    async def _send_stop(self, order: StopOrder) -> list[Order]:
        confirmed = False
        if self._keeper.is_valid():
            confirmed = await self._client.stop(order.key, order.run_id, self._record.doubt.fence)
        if not confirmed:
            await trio.sleep(STOP_RETRY_DELAY_S)
        self._wake.set()
        return self._state.apply_stop_answer(order, confirmed, self._clock.read_monotonic_s())

    @_send.register
    async def _send_pace(self, order: PaceOrder) -> list[Order]:
        if self._keeper.is_valid():
            await self._client.pace(
                order.key, order.run_id, order.percent, self._record.doubt.fence
            )
        return []

    def _has_fence(self) -> bool:
        """Drop the term if its fences are used up, and return whether there is one for the target."""
        if self._record.doubt.fence <= self._state.last_fence:
            return True
        self._keeper.step_down(f'target {self._record.entry.target_id} needs a higher fence')
        return False

    async def _poll_unless_abandoned(self) -> bool:
        self._poll_scope = trio.CancelScope()
        with self._poll_scope:
            return await self._poll()
        return True

    async def _poll(self) -> bool:
        """Request one report; return False when the link has to end."""
        requested_s = self._clock.read_monotonic_s()
        # A silent target gets no extension of its lease. It could apply the extension although the
        # answer is lost, and its runs would never lapse.
        extends_lease = self._keeper.is_valid() and not self._record.silent
        expires_ms = self._compute_expiry_ms() if extends_lease else None
        wait_ms = self._choose_wait_ms()
        incarnation_start_ms = self._record.incarnation_start_ms
        fence = self._record.doubt.fence
        self._polled_fence = fence
        # Without a valid term nothing more is acknowledged: a successor may not have read the
        # progress of these ends.
        acknowledged = self._choose_acknowledged() if extends_lease else 0
        try:
            report = await self._client.hold(fence, acknowledged, expires_ms, wait_ms)
        except TargetSilentError as error:
            return self._handle_silence(error)
        except CallNotPermittedError as error:
            log.info('target %s: not polled: %s', self._record.entry.target_id, error)
            return True
        self._record_acknowledged(incarnation_start_ms, acknowledged)
        if report is None:
            return not self._handle_higher_fence(fence)
        try:
            self._apply_report(report, fence, requested_s)
        except Exception as error:
            # A target whose reports can't be applied is treated as silent: its lease ends.
            note_unexpected('report', error, self._metrics)
            return self._handle_silence(TargetSilentError(f'report not applied: {error!r}'))
        return True

    def _record_acknowledged(self, incarnation_start_ms: int, number: int) -> None:
        """Record what was acknowledged, unless the target has restarted during the call."""
        if self._record.incarnation_start_ms == incarnation_start_ms:
            self._record.acknowledged_number = max(self._record.acknowledged_number, number)

    def _choose_acknowledged(self) -> int:
        """Return the number of the last end to acknowledge, or 0 if none is left.

        Each end is acknowledged once. A target that has restarted since would take the same number
        for ends of its own, which nobody has read.
        """
        number = self._record.stored_number
        return number if number > self._record.acknowledged_number else 0

    def _handle_higher_fence(self, fence: int) -> bool:
        """Drop the term if a target has refused the latest fence, and return whether it has.

        A lower one is refused because this holder has raised the fence since.
        """
        if fence < self._record.doubt.fence:
            return False
        self._keeper.step_down(f'target {self._record.entry.target_id} has a higher fence')
        return True

    def _apply_report(self, report: TargetReport, fence: int, requested_s: float) -> None:
        now_s = self._clock.read_monotonic_s()
        orders = self._state.apply_report(self._record, report, fence, requested_s, now_s)
        if self._record.applied_number > self._record.stored_number:
            self._journal.wake()
        self._submit_orders(orders)

    def _handle_silence(self, error: TargetSilentError) -> bool:
        record = self._record
        if not record.silent:
            log.info(
                'target %s: silent, its lease is not extended: %s', record.entry.target_id, error
            )
        now_s = self._clock.read_monotonic_s()
        if not record.silent:
            self._state.open_starts.note_silence(record.entry.target_id, now_s)
        record.silent = True
        if now_s < record.doubt.lease_end_s:
            return True
        if record.runs:
            log.info(
                'target %s: %d runs have lapsed, tasks still needed are queued again',
                record.entry.target_id,
                len(record.runs),
            )
            self._state.lapse_runs(record)
            self._submit_orders([])
        return not record.leaving

    async def _pause(self) -> None:
        record = self._record
        if record.silent:
            await self._pause_silent()
            return
        self._silent_retry_s = SILENT_RETRY_INTERVAL_S
        if record.applied_number > record.stored_number:
            await self._journal.wait_until_stored(MAX_STORE_WAIT_S)
            return
        if not record.doubt.settled and self._polled_fence == record.doubt.fence:
            await self._wait_for_wake(UNFENCED_RETRY_INTERVAL_S)
            return
        if record.runs or not record.doubt.settled:
            return
        await self._wait_for_wake(IDLE_POLL_INTERVAL_S)

    async def _pause_silent(self) -> None:
        """Pause before the next poll of a silent target; its restart ends the pause."""
        pause_s = SILENT_RETRY_INTERVAL_S if self._record.runs else self._silent_retry_s
        self._silent_retry_s = min(2 * self._silent_retry_s, MAX_SILENT_RETRY_INTERVAL_S)
        await self._wait_for_wake(pause_s)

    async def _wait_for_wake(self, limit_s: float) -> None:
        self._wake = trio.Event()
        with trio.move_on_after(limit_s):
            await self._wake.wait()

    def _choose_wait_ms(self) -> int:
        record = self._record
        needs_first_report = record.clock_offset_ms is None or not record.reported
        if needs_first_report or not record.doubt.settled or record.silent or not record.runs:
            return 0
        if record.has_unstored_ends:
            return 0
        unconfirmed = any(run.state is not RunState.RUNNING for run in record.runs.values())
        if unconfirmed or record.has_open_suspect():
            return int(UNCONFIRMED_WAIT_S * MS_PER_S)
        if any(run.long_running and not run.at_work for run in record.runs.values()):
            return int(WARM_UP_WAIT_S * MS_PER_S)
        return int(MAX_HOLD_WAIT_S * MS_PER_S)

    def _compute_expiry_ms(self) -> int | None:
        """Return the end of a full lease on the target's clock, or None while that is unknown.

        Records the latest time on the holder's clock at which such a lease may still be valid.
        """
        clock_offset_ms = self._record.clock_offset_ms
        if clock_offset_ms is None:
            return None
        now_s = self._clock.read_monotonic_s()
        self._record.doubt.record_lease(now_s, self._lease_s)
        return int(now_s * MS_PER_S + clock_offset_ms + self._lease_s * MS_PER_S)
