"""Stores the start orders without a reply, for the next holder."""

import logging

import trio

from comfreywind.clock import Clock
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.http.client import Permit
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import HOLDER_PARTITION, OPEN_STARTS_KEY, TABLE_TERM
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange
from comfreywind.scheduling.open_start_row import (
    StoredStarts,
    choose_stored_starts,
    decode_open_starts,
    encode_open_starts,
)
from comfreywind.scheduling.open_starts import OpenStarts

# Orders that get no reply within this time of each other share one write.
BATCH_WINDOW_S = 0.05
# Closed orders are left in the row for this time; they only delay their tasks after a takeover.
SHRINK_INTERVAL_S = 2.0
RETRY_S = 0.15
# How often it is checked whether starts have waited for a reply for long enough to be stored.
CHECK_INTERVAL_S = 0.1
# Upper bound for one open start in the row: a task, a target and a few run ids.
OPEN_START_BYTES = 128

log = logging.getLogger('comfreywind.roster')


class OpenStartKeeper:
    """Owns the row of open starts: adds those of earlier holders, and stores those of this one."""

    def __init__(
        self,
        rows: RowsClient,
        open_starts: OpenStarts,
        clock: Clock,
        permit: Permit,
        row_limit_bytes: int,
    ) -> None:
        """Use the store's client; `permit` returns whether the term is still held.

        `row_limit_bytes` is the largest row that the store accepts. Of more open starts than a row
        holds, the earliest are left out.
        """
        self._limit = row_limit_bytes // OPEN_START_BYTES
        self._clock = clock
        self._rows = rows
        self._open_starts = open_starts
        self._permit = permit
        self._version = 0
        self._stored: StoredStarts = frozenset()
        self._written_s = float('-inf')

    async def load(self, taken_s: float) -> None:
        """Add the open starts of earlier holders, which sent no order after `taken_s`.

        Raises StoreUnavailableError when the store gives no answer.
        """
        row = await self._rows.read_row(TABLE_TERM, HOLDER_PARTITION, OPEN_STARTS_KEY)
        self._version = row.version
        try:
            self._stored = decode_open_starts(row.payload)
        except RowFormatError as error:
            log.warning(
                'open starts of the earlier holder are unreadable; '
                'its tasks may start before their orders are settled: %s',
                error,
            )
        for key, target_id, run_ids in self._stored:
            for run_id in run_ids:
                self._open_starts.add(key, target_id, run_id, taken_s)

    async def run(self) -> None:
        """Store further open starts soon, and closed ones with the next write, until cancelled."""
        while True:
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self._open_starts.wait_for_addition()
            if not self._is_due():
                continue
            await trio.sleep(BATCH_WINDOW_S)
            while not await self._store():
                await trio.sleep(RETRY_S)

    def _choose(self) -> StoredStarts:
        now_s = self._clock.read_monotonic_s()
        self._open_starts.drop_expired(now_s)
        return choose_stored_starts(self._open_starts.list_to_store(now_s), self._limit)

    def _is_due(self) -> bool:
        """Return whether there are further open starts, or the row may shrink."""
        shrinks = self._clock.read_monotonic_s() - self._written_s >= SHRINK_INTERVAL_S
        return shrinks or not self._choose() <= self._stored

    async def _store(self) -> bool:
        """Write the row if it has to change; return whether the store has confirmed it."""
        self._written_s = self._clock.read_monotonic_s()
        to_store = self._choose()
        if to_store == self._stored:
            return True
        change = RowChange(TABLE_TERM, OPEN_STARTS_KEY, encode_open_starts(to_store), self._version)
        try:
            self._version = await self._rows.commit(HOLDER_PARTITION, [change], self._permit)
        except RowsChangedError as error:
            # An own write whose answer was lost, because the term keeps others from writing.
            for row in error.rows:
                self._version = row.version
            return False
        except StoreUnavailableError as error:
            log.info('%d open starts not stored, trying again: %s', len(to_store), error)
            return False
        self._stored = to_store
        return True
