"""Owns the connections to one target: extends its lease, reads its lists, sends orders."""

import logging
from collections.abc import Callable
from functools import singledispatchmethod

import trio

from comfreywind.clock import Clock
from comfreywind.errors import CallNotPermittedError, TargetReplacedError, TargetSilentError
from comfreywind.jobs.run_report import TargetReport
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.metrics import Metrics
from comfreywind.platform.target_client import TargetClient
from comfreywind.scheduling.scheduler_state import SchedulerState
from comfreywind.scheduling.orders import Order, PaceOrder, StartOrder, StopOrder
from comfreywind.scheduling.progress_journal import ProgressJournal
from comfreywind.scheduling.run_record import RunState
from comfreywind.scheduling.target_record import TargetRecord
from comfreywind.scheduling.term_keeper import TermKeeper
from comfreywind.supervision import note_unexpected

# Long enough to outlast a change of the holder, short enough that the work of a lost target soon
# starts elsewhere.
RUN_LEASE_S = 5.0
# The clock of a target may be 2 % slow; the rest is for the way of the order.
CLOCK_DRIFT_RATIO = 1.02
LEASE_MARGIN_S = 0.4
# After this time every run of an earlier holder has lapsed.
EARLIER_RUNS_LAPSE_S = RUN_LEASE_S * CLOCK_DRIFT_RATIO + LEASE_MARGIN_S + 0.1
MAX_HOLD_WAIT_S = 1.0
# For a target with orders whose outcome only its lists show.
UNSETTLED_WAIT_S = 0.2
# A list is answered early when a run ends, not when a lasting task begins to serve; until then no
# other task of its step may be taken away.
WARM_UP_WAIT_S = 0.5
# A target without runs is looked at less often; only its lists after a silence matter.
IDLE_LOOK_S = 2.5
SILENT_RETRY_S = 0.3
# A silent target without runs is looked at less and less often: mostly its VM has been moved.
LONGEST_SILENT_RETRY_S = 2.4
STORE_WAIT_S = 0.25
STOP_RETRY_S = 0.3
MS_PER_S = 1000

log = logging.getLogger('comfreywind.targets')


class TargetLink:
    """The task of one target."""

    def __init__(
        self,
        record: TargetRecord,
        client: TargetClient,
        scheduler_state: SchedulerState,
        journal: ProgressJournal,
        keeper: TermKeeper,
        clock: Clock,
        lease_limit_s: float,
        publish: Callable[[list[Order]], None],
        metrics: Metrics,
    ) -> None:
        """Serve the target of the record; `publish` takes orders that follow from its reports."""
        self._metrics = metrics
        self._record = record
        self._client = client
        self._state = scheduler_state
        self._journal = journal
        self._keeper = keeper
        self._clock = clock
        self._lease_s = min(RUN_LEASE_S, lease_limit_s)
        self._publish = publish
        self._clock_offset_ms: float | None = None
        self._idle_retry_s = SILENT_RETRY_S
        self._wake = trio.Event()

    async def run(self) -> None:
        """Hold the target's lease until the target is gone or another holder has taken over."""
        target_id = self._record.entry.target_id
        try:
            while await self._look():
                await self._pause()
        except TargetReplacedError as error:
            log.info('target %s: %s', target_id, error)
            self._record.leaving = True
            self._state.requeue_runs(self._record, self._clock.read_monotonic_s())
            self._publish([])
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(0.1):
                await self._client.close()

    def wake(self) -> None:
        """Have the target looked at soon, because it has new runs."""
        self._wake.set()

    async def send(self, order: Order) -> None:
        """Send an order and tell the board what came of it."""
        try:
            orders = await self._send(order)
        except Exception as error:
            note_unexpected('order', error, self._metrics)
            orders = self._note_doubt(order)
        self._publish(orders)

    @singledispatchmethod
    def _note_doubt(self, order: Order) -> list[Order]:
        """Take in that it is not known what came of an order."""
        return []

    @_note_doubt.register
    def _note_start_doubt(self, order: StartOrder) -> list[Order]:
        now_s = self._clock.read_monotonic_s()
        return self._state.apply_start_answer(order, StartAnswer.UNKNOWN, now_s)

    @_note_doubt.register
    def _note_stop_doubt(self, order: StopOrder) -> list[Order]:
        return self._state.apply_stop_answer(order, False, self._clock.read_monotonic_s())

    @singledispatchmethod
    async def _send(self, order: Order) -> list[Order]:
        raise TypeError(f'unknown order {order!r}')

    @_send.register
    async def _send_start(self, order: StartOrder) -> list[Order]:
        expires_ms = self._find_expiry_ms()
        if expires_ms is None or not self._keeper.is_valid():
            return self._state.apply_start_answer(
                order, StartAnswer.EXPIRED, self._clock.read_monotonic_s()
            )
        sent_s = self._clock.read_monotonic_s()
        answer = await self._client.start(
            order.key,
            order.run_id,
            order.spec,
            self._state.epoch,
            expires_ms,
            order.checkpoint,
            order.ticket,
        )
        self._metrics.record_duration('starts', self._clock.read_monotonic_s() - sent_s)
        self._metrics.count(f'starts.{answer.value}')
        if answer is StartAnswer.FENCED:
            self._keeper.step_down(f'target {order.target_id} has a higher fence')
        self._wake.set()
        return self._state.apply_start_answer(order, answer, self._clock.read_monotonic_s())

    @_send.register
    async def _send_stop(self, order: StopOrder) -> list[Order]:
        confirmed = False
        if self._keeper.is_valid():
            confirmed = await self._client.stop(order.key, order.run_id, self._state.epoch)
        if not confirmed:
            await trio.sleep(STOP_RETRY_S)
        self._wake.set()
        return self._state.apply_stop_answer(order, confirmed, self._clock.read_monotonic_s())

    @_send.register
    async def _send_pace(self, order: PaceOrder) -> list[Order]:
        if self._keeper.is_valid():
            await self._client.pace(order.key, order.run_id, order.percent, self._state.epoch)
        return []

    async def _look(self) -> bool:
        """Ask for the lists once; return False when the link has to end."""
        asked_s = self._clock.read_monotonic_s()
        # A silent target may take an extension without an answer, so it gets none: its runs lapse.
        extends = self._keeper.is_valid() and not self._record.silent
        expires_ms = self._find_expiry_ms() if extends else None
        wait_ms = self._choose_wait_ms()
        acknowledged = self._record.acknowledged_number
        # Without a term nothing more is acknowledged: a successor may not know of it.
        if extends:
            acknowledged = self._record.stored_number
        try:
            report = await self._client.hold(self._state.epoch, acknowledged, expires_ms, wait_ms)
        except TargetSilentError as error:
            self._record.acknowledged_number = acknowledged
            return self._note_silence(error)
        except CallNotPermittedError as error:
            log.info('target %s: %s', self._record.entry.target_id, error)
            return True
        self._record.acknowledged_number = acknowledged
        if report is None:
            self._keeper.step_down(f'target {self._record.entry.target_id} has a higher fence')
            return False
        try:
            self._note_report(report, asked_s)
        except Exception as error:
            # A target whose lists can't be taken in gets no further lease, as one that is silent.
            note_unexpected('report', error, self._metrics)
            return self._note_silence(TargetSilentError(f'report not taken in: {error!r}'))
        return True

    def _note_report(self, report: TargetReport, asked_s: float) -> None:
        now_s = self._clock.read_monotonic_s()
        self._clock_offset_ms = report.clock_ms - now_s * MS_PER_S
        orders = self._state.apply_report(self._record, report, asked_s, now_s)
        if self._record.applied_number > self._record.stored_number:
            self._journal.wake()
        self._publish(orders)

    def _note_silence(self, error: TargetSilentError) -> bool:
        record = self._record
        if not record.silent:
            log.info('target %s: %s', record.entry.target_id, error)
        record.silent = True
        now_s = self._clock.read_monotonic_s()
        if now_s < record.lease_end_s:
            return True
        if record.runs:
            log.info('target %s: %d runs have lapsed', record.entry.target_id, len(record.runs))
            self._state.requeue_runs(record, now_s)
            self._publish([])
        return not record.leaving

    async def _pause(self) -> None:
        record = self._record
        if record.silent:
            await trio.sleep(SILENT_RETRY_S if record.runs else self._idle_retry_s)
            self._idle_retry_s = min(2 * self._idle_retry_s, LONGEST_SILENT_RETRY_S)
            return
        self._idle_retry_s = SILENT_RETRY_S
        if record.applied_number > record.stored_number:
            await self._journal.wait_stored(STORE_WAIT_S)
            return
        if record.runs:
            return
        self._wake = trio.Event()
        with trio.move_on_after(IDLE_LOOK_S):
            await self._wake.wait()

    def _choose_wait_ms(self) -> int:
        record = self._record
        first = self._clock_offset_ms is None or not record.reported
        if first or record.silent or not record.runs:
            return 0
        if record.applied_number > record.stored_number:
            return 0
        if any(run.state is not RunState.RUNNING for run in record.runs.values()):
            return int(UNSETTLED_WAIT_S * MS_PER_S)
        if any(run.lasting and not run.at_work for run in record.runs.values()):
            return int(WARM_UP_WAIT_S * MS_PER_S)
        return int(MAX_HOLD_WAIT_S * MS_PER_S)

    def _find_expiry_ms(self) -> int | None:
        """Return the end of a full lease on the target's clock and note when it has lapsed."""
        if self._clock_offset_ms is None:
            return None
        now_s = self._clock.read_monotonic_s()
        end_s = now_s + self._lease_s * CLOCK_DRIFT_RATIO + LEASE_MARGIN_S
        self._record.lease_end_s = max(self._record.lease_end_s, end_s)
        return int(now_s * MS_PER_S + self._clock_offset_ms + self._lease_s * MS_PER_S)
