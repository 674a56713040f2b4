"""Competes for the holder's term and renews it."""

import logging
import random
from dataclasses import dataclass

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.term import (
    POLL_INTERVAL_S,
    RENEW_INTERVAL_S,
    SLOW_STORE_TERM_S,
    DEFAULT_TERM_S,
    LeaseObservation,
    TermAction,
    choose_term_s,
    decide_term_action,
    get_release_delay_s,
    get_take_delay_s,
    is_term_valid,
)
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import TABLE_TERM, TERM_KEY, TERM_PART
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.term_row import TermRow, decode_term, encode_term

# Nodes that see a released term at the same moment don't all try at once.
TAKE_JITTER_S = 0.08
SHORTEST_PAUSE_S = 0.05
NEVER_SEEN = -1
# One renewal at most is under way when a term is released.
RELEASE_ATTEMPTS = 2
MS_PER_S = 1000

log = logging.getLogger('comfreywind.term')


@dataclass(frozen=True, slots=True)
class HeldTerm:
    """A term of this node; jobs with a row version above `taken_version` were never started."""

    epoch: int
    taken_version: int
    taken_s: float


class TermKeeper:
    """Owns the lease row of the term as this node knows it."""

    def __init__(self, rows: RowsClient, node: str, clock: Clock, cores: float = 1) -> None:
        """Use the store's client; `node` is the name of this node, `cores` the size of its VM."""
        self._rows = rows
        self._node = node
        self._clock = clock
        self._random = random.Random(node)
        self._take_delay_s = get_take_delay_s(cores)
        self._version = NEVER_SEEN
        self._started_s = clock.read_monotonic_s()
        self._version_since_s = self._started_s
        self._next_term_s = DEFAULT_TERM_S
        self._seen_row = TermRow('', 0)
        self._renewal_sent_s: float | None = None
        self._held_term_s = DEFAULT_TERM_S
        self._held: HeldTerm | None = None
        self._change = trio.Event()
        self._stopping = False
        self.own_pending: dict[str, int] = {}
        self.own_refused: dict[str, float] = {}

    @property
    def held(self) -> HeldTerm | None:
        """Return the term that this node holds, which may have lapsed for the moment."""
        return self._held

    @property
    def seen_row(self) -> TermRow:
        """Return the row as last read or written."""
        return self._seen_row

    def is_valid(self) -> bool:
        """Return whether this node may give orders now."""
        now_s = self._clock.read_monotonic_s()
        if self._held is None:
            return False
        return is_term_valid(self._renewal_sent_s, self._held_term_s, now_s)

    async def wait_for_change(self) -> None:
        """Return when the node has gained or lost the term."""
        await self._change.wait()

    async def run(self) -> None:
        """Read, take or renew the row for ever."""
        while not self._stopping:
            next_s = trio.current_time() + self._find_pause_s()
            try:
                await self._take_step()
            except StoreUnavailableError as error:
                log.info('term row: %s', error)
            # A slow store takes up the pause, and a call that failed at once must not repeat at once.
            await trio.sleep(max(next_s - trio.current_time(), SHORTEST_PAUSE_S))

    async def release(self) -> None:
        """Give the term up, so that another node takes over at once."""
        self._stopping = True
        held = self._held
        if held is None:
            return
        self._lose('released')
        for _ in range(RELEASE_ATTEMPTS):
            if await self._write_release(held.epoch):
                return

    def depose(self, reason: str) -> None:
        """Note that another holder has given orders with a higher fence."""
        if self._held is not None:
            self._lose(reason)

    async def _write_release(self, epoch: int) -> bool:
        """Write the released row; return False when a renewal was written just before."""
        row = TermRow(
            self._node,
            epoch,
            self._seen_row.renewal + 1,
            released=True,
            started_ms=self._find_start_ms(),
        )
        change = RowChange(TABLE_TERM, TERM_KEY, encode_term(row), self._version)
        try:
            await self._rows.commit(TERM_PART, [change])
        except RowsChangedError as error:
            for stored in error.rows:
                self._observe(stored)
            log.info('term %d: the row changed before it was released', epoch)
            return self._seen_row.holder != self._node or self._seen_row.epoch != epoch
        except StoreUnavailableError as error:
            log.info('term %d: not released: %s', epoch, error)
        return True

    async def _take_step(self) -> None:
        if self._held is None:
            self._observe(await self._rows.read_row(TABLE_TERM, TERM_PART, TERM_KEY))
        step = decide_term_action(self._describe(), self._held is not None)
        if step is TermAction.WAIT or self._stopping:
            return
        if step is TermAction.TAKE:
            await trio.sleep(self._find_delay_s())
        await self._write(step)

    def _find_delay_s(self) -> float:
        delay_s = self._take_delay_s + self._random.uniform(0, TAKE_JITTER_S)
        row = self._seen_row
        if row.released and row.started_ms:
            later_s = (self._find_start_ms() - row.started_ms) / MS_PER_S
            delay_s += get_release_delay_s(later_s)
        return delay_s

    def _find_start_ms(self) -> float:
        """Return when this process started on the store's clock, or 0 when that is not known."""
        store_time = self._rows.store_time
        return 0 if store_time is None else store_time.find_latest_ms(self._started_s)

    def _describe(self) -> LeaseObservation:
        now_s = self._clock.read_monotonic_s()
        row = self._seen_row
        store_time = self._rows.store_time
        age_s = None
        if row.renewed_ms and store_time is not None:
            age_s = (store_time.find_earliest_ms(now_s) - row.renewed_ms) / MS_PER_S
        return LeaseObservation(
            exists=self._version != 0,
            released=row.released,
            term_s=row.term_s,
            unchanged_s=now_s - self._version_since_s,
            renewal_age_s=age_s,
        )

    async def _write(self, step: TermAction) -> None:
        sent_s = self._clock.read_monotonic_s()
        store_time = self._rows.store_time
        row = TermRow(
            self._node,
            self._seen_row.epoch + int(step is TermAction.TAKE),
            self._seen_row.renewal + 1,
            term_s=self._next_term_s,
            renewed_ms=0 if store_time is None else store_time.find_latest_ms(sent_s),
            pending=self.own_pending,
            refused=self.own_refused,
            started_ms=self._find_start_ms(),
        )
        if step is TermAction.RENEW:
            self._bound_term(sent_s, row.term_s)
        change = RowChange(TABLE_TERM, TERM_KEY, encode_term(row), self._version)
        try:
            version = await self._rows.commit(TERM_PART, [change])
        except RowsChangedError as error:
            self._settle_conflict(error.rows)
            return
        finally:
            self._next_term_s = choose_term_s(self._clock.read_monotonic_s() - sent_s)
        self._accept(row, version, sent_s, step)

    def _bound_term(self, sent_s: float, term_s: float) -> None:
        """End the present term no later than the one that is about to be written.

        The answer may be lost, and candidates go by the row: a shorter term may lapse there first.
        """
        if self._renewal_sent_s is not None:
            end_s = min(self._renewal_sent_s + self._held_term_s, sent_s + term_s)
            self._held_term_s = end_s - self._renewal_sent_s

    def _settle_conflict(self, rows: tuple[StoredRow, ...]) -> None:
        """Find out who has the term when the row has another version than expected.

        An earlier renewal without a reply may have taken effect. The term then still counts from
        the last renewal that had one.
        """
        for stored in rows:
            self._observe(stored)
        seen = self._seen_row
        if self._held is None:
            return
        if seen.holder != self._node or seen.released or seen.epoch != self._held.epoch:
            self._lose(f'the row names {seen.holder} in term {seen.epoch}')

    def _accept(self, row: TermRow, version: int, sent_s: float, step: TermAction) -> None:
        now_s = self._clock.read_monotonic_s()
        self._seen_row = row
        self._version = version
        self._version_since_s = now_s
        if step is TermAction.TAKE and not self._stopping:
            self._renewal_sent_s = sent_s
            self._held_term_s = row.term_s
            self._held = HeldTerm(row.epoch, version, now_s)
            log.info('term %d: taken at version %d', row.epoch, version)
            self._announce()
        elif self._held is None:
            # A term that was lost is not held a second time: its run ids would be given out again.
            log.info('term %d: renewed after it was lost; it lapses', row.epoch)
        else:
            self._renewal_sent_s = sent_s
            self._held_term_s = row.term_s

    def _observe(self, stored: StoredRow) -> None:
        if stored.version != self._version:
            self._version = stored.version
            self._version_since_s = self._clock.read_monotonic_s()
        self._seen_row = self._read_term(stored)

    def _read_term(self, stored: StoredRow) -> TermRow:
        """Return the row; one that can't be read counts as a term of unknown holder and full length.

        Targets refuse a fence that is too low, so a node that had not seen the epoch finds it by
        taking the term again.
        """
        if not stored.payload:
            return TermRow('', 0)
        try:
            return decode_term(stored.payload)
        except RowFormatError as error:
            log.warning(
                'term row at version %d is overwritten once it lapses: %s', stored.version, error
            )
            return TermRow('', self._seen_row.epoch, term_s=SLOW_STORE_TERM_S)

    def _lose(self, reason: str) -> None:
        log.info('term %d: lost: %s', self._seen_row.epoch, reason)
        self._held = None
        self._renewal_sent_s = None
        self._announce()

    def _announce(self) -> None:
        self._change.set()
        self._change = trio.Event()

    def _find_pause_s(self) -> float:
        if self._held is not None:
            return RENEW_INTERVAL_S
        return POLL_INTERVAL_S * self._random.uniform(0.8, 1.2)
