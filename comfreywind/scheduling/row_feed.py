"""Reads all rows of one table of the store, and then its changes."""

import logging
from collections.abc import Callable, Iterable

import trio

from comfreywind.clock import Clock
from comfreywind.errors import HistoryLostError, StoreUnavailableError
from comfreywind.metrics import Metrics, NoMetrics
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowPage, StoredRow
from comfreywind.supervision import note_unexpected

RETRY_S = 0.05
# Upper bound of the pause between attempts while the store is out of reach; its return ends a pause.
OUTAGE_RETRY_S = 1.0
# A read that took longer, and had changes, is followed by one that doesn't wait for a change.
SLOW_READ_S = 1.0

log = logging.getLogger('comfreywind.feed')

RowHandler = Callable[[StoredRow], None]
SnapshotHandler = Callable[[tuple[StoredRow, ...]], None]


class RowFeed:
    """Reads a snapshot of a table, then its changes; a new snapshot when the history was dropped.

    `confirmed_s` is the latest time, on the node's steady clock, of which all changes are known.
    """

    def __init__(
        self,
        rows: RowsClient,
        table: str,
        partitions: Iterable[str],
        handle_row: RowHandler,
        clock: Clock,
        handle_snapshot: SnapshotHandler | None = None,
        deliver_after: trio.Event | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """Pass each row that was read or changed to `handle_row`.

        `handle_snapshot` gets all rows of a snapshot before they are passed on one by one. Rows may
        be read before `deliver_after` is set, but none is passed on until then.
        """
        self._after = deliver_after
        self._metrics = metrics or NoMetrics()
        self._rows = rows
        self._table = table
        self._partitions = tuple(partitions)
        self._handle_row = handle_row
        self._handle_snapshot = handle_snapshot
        self._clock = clock
        self._is_late = False
        self.confirmed_s: float | None = None
        self.loaded = trio.Event()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        version: int | None = None
        while True:
            try:
                version = await self._read_next(version)
            except HistoryLostError as error:
                log.info('table %s: %s; reading it as a whole', self._table, error)
                version = None
            except StoreUnavailableError as error:
                log.info('table %s not read, trying again: %s', self._table, error)
                self._metrics.count(f'feeds.{self._table}.unread')
                self._is_late = True
                await self._pause()

    async def _pause(self) -> None:
        await trio.sleep(RETRY_S)
        with trio.move_on_after(OUTAGE_RETRY_S):
            await self._rows.contact.wait_for_return()

    async def _read_next(self, version: int | None) -> int:
        requested_s = self._clock.read_monotonic_s()
        if version is None:
            return await self._read_snapshot(requested_s)
        if self._is_late:
            # A read that waits for a change would confirm what is known only at its end.
            page = await self._rows.read_changes_now(self._table, version)
            return self._apply_changes(page, requested_s)
        page = await self._rows.read_changes(self._table, version)
        if page.rows:
            return self._apply_changes(page, requested_s)
        # An answer without changes was sent at the end of the wait, however late it has arrived.
        sent_s = requested_s + self._rows.feed_wait_s
        return self._apply_changes(page, min(sent_s, self._clock.read_monotonic_s()))

    def _apply_changes(self, page: RowPage, confirmed_s: float) -> int:
        for row in page.rows:
            self._deliver(row)
        self._confirm(confirmed_s)
        return page.version

    def _confirm(self, confirmed_s: float) -> None:
        self.confirmed_s = confirmed_s
        self._is_late = self._clock.read_monotonic_s() - confirmed_s > SLOW_READ_S

    def _deliver(self, row: StoredRow) -> None:
        try:
            self._handle_row(row)
        except Exception as error:
            log.error('table %s: row %s skipped after an unexpected error', self._table, row.key)
            note_unexpected('feed', error, self._metrics)

    async def _read_snapshot(self, requested_s: float) -> int:
        rows: list[StoredRow] = []
        versions: list[int] = []
        for page in await self._rows.read_partitions(self._table, self._partitions):
            rows.extend(page.rows)
            versions.append(page.version)
        if self._after is not None:
            await self._after.wait()
        if self._handle_snapshot is not None:
            self._handle_snapshot(tuple(rows))
        for row in rows:
            self._deliver(row)
        self._confirm(requested_s)
        self.loaded.set()
        return min(versions)
