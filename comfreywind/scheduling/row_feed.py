"""Follows the rows of one table of the store."""

import logging
from collections.abc import Callable, Iterable

import trio

from comfreywind.clock import Clock
from comfreywind.errors import HistoryLostError, StoreUnavailableError
from comfreywind.metrics import Metrics, NoMetrics
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import StoredRow
from comfreywind.supervision import note_unexpected

RETRY_S = 0.2

log = logging.getLogger('comfreywind.feed')

TakeRow = Callable[[StoredRow], None]
NoteWhole = Callable[[tuple[StoredRow, ...]], None]


class RowFeed:
    """Reads a table whole, then its changes; reads it whole again when history was dropped.

    `confirmed_s` is when the last answer was asked for that showed the rows as they were then.
    """

    def __init__(
        self,
        rows: RowsClient,
        table: str,
        parts: Iterable[str],
        take_row: TakeRow,
        clock: Clock,
        note_whole: NoteWhole | None = None,
        after: trio.Event | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """Give each row that was read or changed to `take_row`.

        `note_whole` gets each whole reading before its rows are given out one by one. Rows may be
        read before `after` is set, but none is given out until then.
        """
        self._after = after
        self._metrics = metrics or NoMetrics()
        self._rows = rows
        self._table = table
        self._parts = tuple(parts)
        self._take_row = take_row
        self._note_whole = note_whole
        self._clock = clock
        self.confirmed_s: float | None = None
        self.loaded = trio.Event()

    async def run(self) -> None:
        """Follow the table for ever."""
        version: int | None = None
        while True:
            try:
                version = await self._read_next(version)
            except HistoryLostError as error:
                log.info('%s; reading the table again', error)
                version = None
            except StoreUnavailableError as error:
                log.info('%s: %s', self._table, error)
                await trio.sleep(RETRY_S)

    async def _read_next(self, version: int | None) -> int:
        asked_s = self._clock.read_monotonic_s()
        if version is None:
            return await self._read_whole(asked_s)
        page = await self._rows.read_changes(self._table, version)
        for row in page.rows:
            self._take(row)
        # A feed that waited showed the rows as they were when it was answered.
        self.confirmed_s = asked_s if page.rows else self._clock.read_monotonic_s()
        return page.version

    def _take(self, row: StoredRow) -> None:
        try:
            self._take_row(row)
        except Exception as error:
            log.error('%s: row %s is skipped', self._table, row.key)
            note_unexpected('feed', error, self._metrics)

    async def _read_whole(self, asked_s: float) -> int:
        rows: list[StoredRow] = []
        versions: list[int] = []
        for page in await self._rows.read_partitions(self._table, self._parts):
            rows.extend(page.rows)
            versions.append(page.version)
        if self._after is not None:
            await self._after.wait()
        if self._note_whole is not None:
            self._note_whole(tuple(rows))
        for row in rows:
            self._take(row)
        self.confirmed_s = asked_s
        self.loaded.set()
        return min(versions)
