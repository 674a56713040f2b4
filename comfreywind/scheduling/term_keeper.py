"""Competes for the holder's term and renews it."""

import logging
import random
from dataclasses import dataclass

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.scheduling.term import (
    POLL_INTERVAL_S,
    RENEW_INTERVAL_S,
    LeaseSighting,
    TermStep,
    decide_term_step,
    is_term_valid,
)
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.jobs.tables import TABLE_TERM, TERM_KEY, TERM_PART
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.term_row import TermRow, decode_term, encode_term

# Nodes that see a released term at the same moment don't all try at once.
TAKE_JITTER_S = 0.08
NEVER_SEEN = LeaseSighting(-1, '', 0, False, 0)

log = logging.getLogger('comfreywind.term')


@dataclass(frozen=True, slots=True)
class HeldTerm:
    """A term of this node; jobs with a row version above `taken_version` were never started."""

    epoch: int
    taken_version: int
    taken_s: float


class TermKeeper:
    """Owns the lease row of the term as this node knows it."""

    def __init__(self, rows: RowsClient, node: str, clock: Clock) -> None:
        """Use the store's client; `node` is the name of this node's process."""
        self._rows = rows
        self._node = node
        self._clock = clock
        self._random = random.Random(node)
        self._sighting = NEVER_SEEN
        self._seen_row = TermRow('', 0)
        self._renewal_sent_s: float | None = None
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

    @property
    def seen_version(self) -> int:
        """Return the version of the row as last read or written."""
        return self._sighting.version

    def is_valid(self) -> bool:
        """Return whether this node may give orders now."""
        now_s = self._clock.read_monotonic_s()
        return self._held is not None and is_term_valid(self._renewal_sent_s, now_s)

    async def wait_for_change(self) -> None:
        """Return when the node has gained or lost the term."""
        await self._change.wait()

    async def run(self) -> None:
        """Read, take or renew the row for ever."""
        while not self._stopping:
            try:
                await self._take_step()
            except StoreUnavailableError as error:
                log.info('term row: %s', error)
            await trio.sleep(self._find_pause_s())

    async def release(self) -> None:
        """Give the term up, so that another node takes over at once."""
        self._stopping = True
        held = self._held
        if held is None:
            return
        self._lose('released')
        row = TermRow(self._node, held.epoch, self._seen_row.renewal + 1, released=True)
        change = RowChange(TABLE_TERM, TERM_KEY, encode_term(row), self._sighting.version)
        try:
            await self._rows.commit(TERM_PART, [change])
        except (StoreUnavailableError, RowsChangedError) as error:
            log.info('term %d: not released: %s', held.epoch, error)

    def depose(self, reason: str) -> None:
        """Note that another holder has given orders with a higher fence."""
        if self._held is not None:
            self._lose(reason)

    async def _take_step(self) -> None:
        if self._held is None:
            self._observe(await self._rows.read_row(TABLE_TERM, TERM_PART, TERM_KEY))
        now_s = self._clock.read_monotonic_s()
        step = decide_term_step(self._sighting, self._node, self._held is not None, now_s)
        if step is TermStep.WAIT or self._stopping:
            return
        if step is TermStep.TAKE:
            await trio.sleep(self._random.uniform(0, TAKE_JITTER_S))
        await self._write(step)

    async def _write(self, step: TermStep) -> None:
        epoch = self._seen_row.epoch + int(step is TermStep.TAKE)
        row = TermRow(
            self._node,
            epoch,
            self._seen_row.renewal + 1,
            pending=self.own_pending,
            refused=self.own_refused,
        )
        expected = self._sighting.version
        change = RowChange(TABLE_TERM, TERM_KEY, encode_term(row), expected)
        sent_s = self._clock.read_monotonic_s()
        try:
            version = await self._rows.commit(TERM_PART, [change])
        except RowsChangedError as error:
            self._settle_conflict(error.rows, row, sent_s)
            return
        self._accept(row, version, sent_s)

    def _settle_conflict(self, rows: tuple[StoredRow, ...], row: TermRow, sent_s: float) -> None:
        """Find out whether an earlier write of ours without a reply took effect."""
        own_term = self._held
        for stored in rows:
            self._observe(stored)
        seen = self._seen_row
        still_ours = seen.holder == self._node and not seen.released
        if own_term is not None and still_ours and seen.epoch == own_term.epoch:
            self._accept(seen, self._sighting.version, sent_s)
        elif own_term is not None:
            self._lose(f'the row names {seen.holder} in term {seen.epoch}')

    def _accept(self, row: TermRow, version: int, sent_s: float) -> None:
        now_s = self._clock.read_monotonic_s()
        self._seen_row = row
        self._sighting = LeaseSighting(version, row.holder, row.epoch, False, now_s)
        self._renewal_sent_s = sent_s
        if self._held is None or self._held.epoch != row.epoch:
            self._held = HeldTerm(row.epoch, version, now_s)
            log.info('term %d: taken at version %d', row.epoch, version)
            self._announce()

    def _observe(self, stored: StoredRow) -> None:
        row = decode_term(stored.payload) if stored.payload else TermRow('', 0)
        if stored.version != self._sighting.version:
            now_s = self._clock.read_monotonic_s()
            self._sighting = LeaseSighting(
                stored.version, row.holder, row.epoch, row.released, now_s
            )
        self._seen_row = row

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
