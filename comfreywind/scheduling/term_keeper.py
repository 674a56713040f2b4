"""Competes for the holder's term and renews it."""

import logging
import random
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.fences import compute_first_fence, compute_next_epoch
from comfreywind.decisions.scheduling.term import (
    DEFAULT_TERM_S,
    POLL_INTERVAL_S,
    RENEW_INTERVAL_S,
    SLOW_STORE_TERM_S,
    LeaseObservation,
    TermAction,
    choose_poll_pause_s,
    choose_term_s,
    decide_term_action,
    get_release_delay_s,
    get_take_delay_s,
    is_term_valid,
)
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import TABLE_TERM, TERM_KEY, TERM_PARTITION
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.repeated_write import RepeatedWrite
from comfreywind.scheduling.pending_count import PendingCount, unpack_pending_count
from comfreywind.scheduling.queue_wait import (
    PublishedWaits,
    QueueWait,
    pack_waits,
    unpack_waits,
)
from comfreywind.scheduling.term_row import TermRow, decode_term, encode_term

# Spreads the attempts of nodes that see a released term at the same moment.
TAKE_JITTER_S = 0.08
MIN_PAUSE_S = 0.05
# An older count of pending jobs is not used: callers may rely on it to cover all jobs that were
# accepted 5 s ago.
COUNT_AGE_LIMIT_S = 4.5
VERSION_UNKNOWN = -1
# At most one renewal is in flight when a term is released, so a second attempt succeeds.
RELEASE_ATTEMPTS = 2
MS_PER_S = 1000

log = logging.getLogger('comfreywind.term')


@dataclass(frozen=True, slots=True)
class HeldTerm:
    """A term that this node holds, taken at `taken_s` on its steady clock.

    `epoch` is the highest fence that its orders may carry. Jobs with a row version above
    `taken_version` were never started by an earlier holder.
    """

    epoch: int
    taken_version: int
    taken_s: float

    @property
    def first_fence(self) -> int:
        """Return the lowest fence of the term, which is above those of all earlier terms."""
        return compute_first_fence(self.epoch)


class TermKeeper:
    """Polls the lease row of the term, takes the term when it is free, and renews it.

    The last published waits and count of pending jobs are written into the row whenever this node
    renews the term. Until its holder has counted, the row keeps the earlier count.
    """

    def __init__(self, rows: RowsClient, node: str, clock: Clock, cores: float = 1) -> None:
        """Use the store's client; `node` is this node's name, `cores` the size of its VM."""
        self._pending_count: PendingCount | None = None
        self._rows = rows
        self._node = node
        self._clock = clock
        self._random = random.Random(node)
        self._take_delay_s = get_take_delay_s(cores)
        self._version = VERSION_UNKNOWN
        self._started_s = clock.read_monotonic_s()
        self._version_since_s = self._started_s
        self._next_term_s = DEFAULT_TERM_S
        self._lease_row = TermRow('', 0)
        self._last_renewal = 0
        self._renewal_sent_s: float | None = None
        self._held_term_s = DEFAULT_TERM_S
        self._held: HeldTerm | None = None
        self._change = trio.Event()
        self._stopping = False
        self._packed_waits: dict[str, list[int]] = {}

    @property
    def held(self) -> HeldTerm | None:
        """Return the term that this node holds, or None; `is_valid` tells whether it has lapsed."""
        return self._held

    @property
    def lease_row(self) -> TermRow:
        """Return the lease row as last read or written."""
        return self._lease_row

    def publish_pending(self, term: HeldTerm, pending: dict[str, int], counted_s: float) -> None:
        """Have a count written with the next renewal, if `term` is still held.

        It covers all jobs accepted until `counted_s` on this node's steady clock.
        """
        store_time = self._rows.store_time
        if self._held is term and store_time is not None:
            counted_ms = store_time.compute_earliest_ms(counted_s)
            self._pending_count = PendingCount(pending, counted_ms)

    def read_pending(self) -> Mapping[str, int] | None:
        """Return the number of pending jobs by queue, or None when no recent count is known."""
        row = self._lease_row
        count = unpack_pending_count(row.pending, row.renewed_ms)
        store_time = self._rows.store_time
        if not count.counted_ms or store_time is None:
            return None
        now_ms = store_time.compute_latest_ms(self._clock.read_monotonic_s())
        if (now_ms - count.counted_ms) / MS_PER_S > COUNT_AGE_LIMIT_S:
            return None
        return count.jobs_by_queue

    def publish_waits(
        self, term: HeldTerm, waits: Mapping[str, QueueWait], rules: JobRules, taken_s: float
    ) -> None:
        """Have the waits as of `taken_s` written with the next renewal, if `term` is still held."""
        store_time = self._rows.store_time
        if self._held is term and store_time is not None:
            taken_ms = store_time.compute_earliest_ms(taken_s)
            self._packed_waits = pack_waits(waits, rules.teams, rules.version, taken_ms)

    def read_waits(self, rules: JobRules) -> PublishedWaits | None:
        """Return the waits by queue, or None without any that are recent and of these rules."""
        store_time = self._rows.store_time
        if store_time is None:
            return None
        now_ms = store_time.compute_latest_ms(self._clock.read_monotonic_s())
        return unpack_waits(self._lease_row.refused, rules.teams, rules.version, now_ms)

    def is_valid(self) -> bool:
        """Return whether this node holds the term at this moment and may send orders."""
        now_s = self._clock.read_monotonic_s()
        if self._held is None:
            return False
        return is_term_valid(self._renewal_sent_s, self._held_term_s, now_s)

    async def wait_for_change(self) -> None:
        """Return once this node has taken or lost the term."""
        await self._change.wait()

    async def run(self) -> None:
        """Poll, take or renew the term until it is released."""
        while not self._stopping:
            next_s = trio.current_time() + self._choose_pause_s()
            try:
                await self._poll_or_renew()
            except StoreUnavailableError as error:
                log.info('lease row of the term not read or written, trying again: %s', error)
            # The time of a slow call counts towards the pause; a call that fails at once is still
            # not repeated at once.
            with trio.move_on_after(max(next_s - trio.current_time(), MIN_PAUSE_S)):
                await self._wait_for_store_to_return()

    async def release(self) -> None:
        """Release the term, so that another node can take it at once, and stop competing for it."""
        self._stopping = True
        held = self._held
        if held is None:
            return
        self._drop_term('released')
        for _ in range(RELEASE_ATTEMPTS):
            if await self._write_release(held.epoch):
                return

    def step_down(self, reason: str) -> None:
        """Drop the term, because another holder has sent orders with a higher fence."""
        if self._held is not None:
            self._drop_term(reason)

    async def _wait_for_store_to_return(self) -> None:
        """Return at the end of an outage of the store, and not at all while there is none."""
        contact = self._rows.contact
        await contact.wait_for_loss()
        await contact.wait_for_return()

    async def _write_release(self, epoch: int) -> bool:
        """Write the released row; return False when a renewal of this node was written first."""
        row = TermRow(
            self._node,
            epoch,
            self._take_renewal_number(),
            released=True,
            pending=self._pack_earlier_count(),
            started_ms=self._compute_start_ms(),
        )
        change = RowChange(TABLE_TERM, TERM_KEY, encode_term(row), self._version)
        try:
            await self._rows.commit(TERM_PARTITION, [change])
        except RowsChangedError as error:
            for stored in error.rows:
                self._apply_row(stored)
            log.info('term %d: release conflicted with another write of the lease row', epoch)
            return self._lease_row.holder != self._node or self._lease_row.epoch != epoch
        except StoreUnavailableError as error:
            log.info('term %d: release not confirmed, the term may have to lapse: %s', epoch, error)
        return True

    async def _poll_or_renew(self) -> None:
        if self._held is None:
            self._apply_row(await self._rows.read_row(TABLE_TERM, TERM_PARTITION, TERM_KEY))
        step = decide_term_action(self._make_sighting(), self._held is not None)
        if step is TermAction.WAIT or self._stopping:
            return
        if step is TermAction.TAKE:
            await trio.sleep(self._compute_take_delay_s())
        await self._write(step)

    def _compute_take_delay_s(self) -> float:
        delay_s = self._take_delay_s + self._random.uniform(0, TAKE_JITTER_S)
        row = self._lease_row
        if row.released and row.started_ms:
            later_s = (self._compute_start_ms() - row.started_ms) / MS_PER_S
            delay_s += get_release_delay_s(later_s)
        return delay_s

    def _compute_start_ms(self) -> float:
        """Return when this process started, on the store's clock, or 0 when that is unknown."""
        store_time = self._rows.store_time
        return 0 if store_time is None else store_time.compute_latest_ms(self._started_s)

    def _make_sighting(self) -> LeaseObservation:
        now_s = self._clock.read_monotonic_s()
        row = self._lease_row
        store_time = self._rows.store_time
        age_s = None
        if row.renewed_ms and store_time is not None:
            age_s = (store_time.compute_earliest_ms(now_s) - row.renewed_ms) / MS_PER_S
        return LeaseObservation(
            exists=self._version != 0,
            released=row.released,
            term_s=row.term_s,
            unchanged_s=now_s - self._version_since_s,
            renewal_age_s=age_s,
            reached_for_s=now_s - self._rows.contact.returned_s,
        )

    async def _write(self, step: TermAction) -> None:
        started_s = self._clock.read_monotonic_s()
        write = RepeatedWrite(
            self._rows, TERM_PARTITION, partial(self._make_change, step), self._clock
        )
        try:
            outcome = await write.run()
        except RowsChangedError as error:
            self._next_term_s = choose_term_s(self._clock.read_monotonic_s() - started_s)
            self._resolve_conflict(error.rows)
        except StoreUnavailableError:
            self._next_term_s = choose_term_s(self._clock.read_monotonic_s() - started_s)
            raise
        else:
            self._next_term_s = choose_term_s(outcome.took_s)
            row = decode_term(outcome.attempt.payload)
            self._apply_commit(row, outcome.version, outcome.attempt.sent_s, step)

    def _make_change(self, step: TermAction, sent_s: float) -> RowChange:
        """Return the change that takes or renews the term if it is sent at that time."""
        store_time = self._rows.store_time
        count = self._pending_count
        epoch = self._lease_row.epoch
        row = TermRow(
            self._node,
            compute_next_epoch(epoch) if step is TermAction.TAKE else epoch,
            self._take_renewal_number(),
            term_s=self._next_term_s,
            renewed_ms=0 if store_time is None else store_time.compute_latest_ms(sent_s),
            pending=self._pack_earlier_count() if count is None else count.pack(),
            refused=self._packed_waits,
            started_ms=self._compute_start_ms(),
        )
        if step is TermAction.RENEW:
            self._limit_held_term(sent_s, row.term_s)
        return RowChange(TABLE_TERM, TERM_KEY, encode_term(row), self._version)

    def _pack_earlier_count(self) -> dict[str, int]:
        """Return the count in the row that is about to be replaced, with the time of that count."""
        row = self._lease_row
        return unpack_pending_count(row.pending, row.renewed_ms).pack()

    def _take_renewal_number(self) -> int:
        """Return a number that no row of this node has had yet.

        A row that is found in the store then belongs to one attempt, even if nothing else differs.
        The term counts from the time at which that attempt was sent.
        """
        self._last_renewal = max(self._last_renewal, self._lease_row.renewal) + 1
        return self._last_renewal

    def _limit_held_term(self, sent_s: float, term_s: float) -> None:
        """End the held term no later than the one that is about to be written.

        The answer may be lost, and candidates go by the row. If its term is shorter than the held
        one, a candidate may take over while this node still counts on the longer one.
        """
        if self._renewal_sent_s is not None:
            end_s = min(self._renewal_sent_s + self._held_term_s, sent_s + term_s)
            self._held_term_s = end_s - self._renewal_sent_s

    def _resolve_conflict(self, rows: tuple[StoredRow, ...]) -> None:
        """Drop the term if the lease row, which has an unexpected version, names another holder.

        If it still names this node, an earlier renewal took effect without a reply. The term then
        still counts from the last renewal that had a reply.
        """
        for stored in rows:
            self._apply_row(stored)
        seen = self._lease_row
        if self._held is None:
            return
        if seen.holder != self._node or seen.released or seen.epoch != self._held.epoch:
            self._drop_term(f'the row names {seen.holder} in term {seen.epoch}')

    def _apply_commit(self, row: TermRow, version: int, sent_s: float, step: TermAction) -> None:
        now_s = self._clock.read_monotonic_s()
        self._lease_row = row
        self._version = version
        self._version_since_s = now_s
        if step is TermAction.TAKE and not self._stopping:
            self._renewal_sent_s = sent_s
            self._held_term_s = row.term_s
            self._held = HeldTerm(row.epoch, version, now_s)
            log.info('term %d: taken by this node at row version %d', row.epoch, version)
            self._notify_change()
        elif self._held is None:
            # A lost term is not held again, because its run ids would be used a second time.
            log.info('term %d: renewal written after the term was lost; it will lapse', row.epoch)
        else:
            self._renewal_sent_s = sent_s
            self._held_term_s = row.term_s

    def _apply_row(self, stored: StoredRow) -> None:
        if stored.version != self._version:
            self._version = stored.version
            self._version_since_s = self._clock.read_monotonic_s()
        self._lease_row = self._read_term(stored)

    def _read_term(self, stored: StoredRow) -> TermRow:
        """Return the row; an unreadable one counts as a term of full length of an unknown holder.

        A node that has never seen the epoch may take the term with one that is too low. Targets
        refuse its fence, and it reaches the right epoch by taking the term again.
        """
        if not stored.payload:
            return TermRow('', 0)
        try:
            return decode_term(stored.payload)
        except RowFormatError as error:
            log.warning(
                'lease row at version %d is unreadable and will be overwritten once it lapses: %s',
                stored.version,
                error,
            )
            return TermRow(
                '',
                self._lease_row.epoch,
                term_s=SLOW_STORE_TERM_S,
                pending=self._lease_row.pending,
            )

    def _drop_term(self, reason: str) -> None:
        log.info('term %d: no longer held by this node: %s', self._lease_row.epoch, reason)
        self._held = None
        self._renewal_sent_s = None
        self._pending_count = None
        self._packed_waits = {}
        self._notify_change()

    def _notify_change(self) -> None:
        self._change.set()
        self._change = trio.Event()

    def _choose_pause_s(self) -> float:
        if self._held is not None:
            return RENEW_INTERVAL_S
        interval_s = POLL_INTERVAL_S * self._random.uniform(0.8, 1.2)
        return choose_poll_pause_s(self._make_sighting(), interval_s)
