"""Client of the partitioned table service that stores jobs, rules and registrations."""

import base64
import contextlib
import logging
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from urllib.parse import quote

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.transfer_limit import MOST_BULK_READS, CallProgress
from comfreywind.errors import (
    CallAbandonedError,
    CallNotPermittedError,
    HistoryLostError,
    RowsChangedError,
    StoreCallLostError,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnavailableError,
)
from comfreywind.http.client import HttpClient, HttpReply, Permit
from comfreywind.http.service_contact import ServiceContact
from comfreywind.metrics import Metrics, NoMetrics
from comfreywind.platform.concurrent_calls import run_concurrently
from comfreywind.platform.store_call import CALL_FAILURES, DECODING_ERRORS
from comfreywind.platform.store_time import StoreTime
from comfreywind.platform.stored_row import RowChange, RowPage, StoredRow
from comfreywind.settings.address import Address

# A store that is 100 times slower than usual takes about a second for a transaction.
CALL_TIMEOUT_S = 1.5
# Added to the longest wait of a feed read, for the network and a slow store.
FEED_MARGIN_S = 1.5
PAGE_ROWS = 500
# Connections for small calls, which bulk reads must not keep from the store.
CONNECTION_LIMIT = 48
PARTITION_ATTEMPTS = 3
PARTITION_RETRY_S = 0.05
MS_PER_S = 1000
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
# Statuses with which the store guarantees that the call had no effect.
STATUSES_REFUSED = frozenset((403, 429, 503, 507))
# Statuses with which the store rejects a transaction or a row that is beyond its limits.
STATUSES_REJECTED = frozenset((400, 413))


log = logging.getLogger('comfreywind.store')


@dataclass(frozen=True, slots=True)
class _StoreCall:
    method: str
    path: str
    document: object | None = None
    permit: Permit | None = None
    progress: CallProgress = field(default_factory=CallProgress)


class RowsClient:
    """Reads rows and changes, and commits transactions.

    Methods raise StoreUnavailableError without a usable reply, or its subclass StoreRefusedError
    when the store refused the call and it had no effect.
    """

    def __init__(
        self,
        address: Address,
        feed_wait_s: float,
        clock: Clock,
        metrics: Metrics | None = None,
        bulk_reads: int = MOST_BULK_READS,
    ) -> None:
        """Prepare clients of the address; a read of a feed waits up to `feed_wait_s` for changes.

        `commit_took_s` is how long the last transaction took that was answered. Feeds have a client
        of their own, with a longer timeout, and so have bulk reads, of which `bulk_reads` at a time
        are open.
        """
        self.feed_wait_s = feed_wait_s
        self._metrics = metrics or NoMetrics()
        self._client = HttpClient(address, CALL_TIMEOUT_S, CONNECTION_LIMIT)
        self._bulk_client = HttpClient(address, CALL_TIMEOUT_S, MOST_BULK_READS)
        self._bulk_slots = trio.Semaphore(bulk_reads)
        self._feed_client = HttpClient(address, feed_wait_s + FEED_MARGIN_S)
        self._feed_wait_ms = int(feed_wait_s * MS_PER_S)
        self._clock = clock
        self._store_time: StoreTime | None = None
        self.contact = ServiceContact('store', clock, metrics)
        self.commit_took_s: float = 0

    @property
    def store_time(self) -> StoreTime | None:
        """Return the last reading of the store's clock, or None before the first."""
        return self._store_time

    @property
    def reachable(self) -> bool:
        """Return whether the store answered the last call to it, and did not refuse it.

        Reads that wait for changes don't count: they break when the store drops its history, while
        it serves all other calls.
        """
        return self.contact.reachable

    async def commit(
        self, partition: str, changes: Sequence[RowChange], permit: Permit | None = None
    ) -> int:
        """Commit all changes to rows of one partition or none; return the version of the new rows.

        Raises RowsChangedError when a row did not have its expected version, and StoreRefusedError
        when the store refused the call or `permit` returned False just before it was sent, and
        StoreRejectedError when the transaction is beyond a limit; in all three cases nothing was
        written. Raises StoreUnavailableError when the outcome is unknown.
        """
        transaction = _encode_changes(partition, changes)
        sent_s = self._clock.read_monotonic_s()
        call = _StoreCall('POST', '/v1/rows-tx', transaction, permit)
        status, document = await self._call(call)
        self.commit_took_s = self._clock.read_monotonic_s() - sent_s
        if status == STATUS_CONFLICT:
            raise RowsChangedError(_read_rows(document))
        return _read_version(document)

    async def read_row(self, table: str, partition: str, key: str) -> StoredRow:
        """Return the row, with version 0 when it does not exist."""
        bounds = f'&from={quote(key, safe="")}&to={quote(key, safe="")}%00&limit=1'
        call = _StoreCall('GET', _make_read_path(table, partition, bounds))
        page = _decode_page((await self._call(call))[1])
        if page.rows:
            return page.rows[0]
        return StoredRow(table, partition, key, None, 0)

    async def read_partition(self, table: str, partition: str) -> RowPage:
        """Return all rows of a partition, read page by page.

        The version is that of the first page, so that reading the feed after it misses no change
        made between the reads of two pages.
        """
        rows: list[StoredRow] = []
        version: int | None = None
        has_more = True
        while has_more:
            start = f'&from={quote(rows[-1].key, safe="")}%00' if rows else ''
            page = await self._read_page(table, partition, f'{start}&limit={PAGE_ROWS}')
            rows.extend(page.rows)
            has_more = page.has_more
            version = page.version if version is None else version
        return RowPage(tuple(rows), version or 0)

    async def read_versions(self, table: str, partition: str, prefix: str) -> dict[str, int]:
        """Return the versions of all rows whose key begins with the prefix, by key.

        The rows' values are not decoded, so that an unreadable one hides no other.
        """
        end = quote(f'{prefix[:-1]}{chr(ord(prefix[-1]) + 1)}', safe='')
        versions: dict[str, int] = {}
        start, has_more = quote(prefix, safe=''), True
        while has_more:
            bounds = f'&from={start}&to={end}&limit={PAGE_ROWS}'
            document = await self._read_bulk(table, partition, bounds)
            with _wrap_decoding_errors():
                page = {str(row['key']): int(row.get('schema_ver', 0)) for row in document['rows']}
            versions.update(page)
            start = f'{quote(max(page, default=prefix), safe="")}%00'
            has_more = bool(page) and bool(document.get('has_more'))
        return versions

    async def read_partitions(self, table: str, partitions: Iterable[str]) -> list[RowPage]:
        """Return all rows of each partition in the given order, read concurrently.

        A partition that can't be read is read again, so that the others are not read for nothing.
        """
        pages: dict[str, RowPage] = {}

        async def read(partition: str) -> None:
            pages[partition] = await self._read_repeatedly(table, partition)

        names = tuple(partitions)
        await run_concurrently([partial(read, partition) for partition in names])
        return [pages[partition] for partition in names]

    async def read_changes(self, table: str, after_version: int) -> RowPage:
        """Return the rows of the table that changed after the version.

        Without a change it waits for the first one, up to `feed_wait_s`. Raises HistoryLostError
        when the store has dropped the history after that version.
        """
        call = _make_bulk_read(_make_feed_path(table, after_version, self._feed_wait_ms))
        return _decode_changes(await self._call_followed(self._feed_client, call))

    async def read_changes_now(self, table: str, after_version: int) -> RowPage:
        """Return the rows that changed after the version, without waiting for a change.

        Raises HistoryLostError as `read_changes` does.
        """
        call = _make_bulk_read(_make_feed_path(table, after_version, 0))
        return _decode_changes(await self._exchange(call))

    async def _read_repeatedly(self, table: str, partition: str) -> RowPage:
        for _ in range(PARTITION_ATTEMPTS - 1):
            try:
                return await self.read_partition(table, partition)
            except StoreUnavailableError as error:
                log.info('partition %s of table %s not read: %s', partition, table, error)
            await trio.sleep(PARTITION_RETRY_S)
        return await self.read_partition(table, partition)

    async def _read_page(self, table: str, partition: str, bounds: str) -> RowPage:
        return _decode_page(await self._read_bulk(table, partition, bounds))

    async def _read_bulk(self, table: str, partition: str, bounds: str) -> dict[str, Any]:
        async with self._bulk_slots:
            call = _make_bulk_read(_make_read_path(table, partition, bounds))
            return (await self._call(call))[1]

    async def _call(self, call: _StoreCall) -> tuple[int, dict[str, Any]]:
        """Return the status (200 or 412) and the document of the reply, and record metrics."""
        sent_s = self._clock.read_monotonic_s()
        try:
            reply = await self._exchange(call)
        except StoreUnavailableError:
            self._metrics.count('store_calls.unanswered')
            raise
        duration_s = self._clock.read_monotonic_s() - sent_s
        self._metrics.record_duration(f'store_calls.{call.method}', duration_s)
        self._metrics.count(f'store_calls.{reply.status}')
        document = _read_document(reply)
        # A reading of the store's clock is as inexact as its call was long.
        if reply.status == STATUS_OK and duration_s <= CALL_TIMEOUT_S:
            self._update_store_time(document, sent_s)
        return reply.status, document

    async def _exchange(self, call: _StoreCall) -> HttpReply:
        client = self._bulk_client if call.progress.is_bulk_read else self._client
        sent_s = self._clock.read_monotonic_s()
        try:
            reply = await self._call_followed(client, call)
        except (StoreRefusedError, StoreCallLostError):
            # The call was not sent, or its outcome says nothing of the store as it is now.
            raise
        except StoreUnavailableError as error:
            silent = isinstance(error.__cause__, trio.TooSlowError)
            self.contact.record_failure(sent_s, str(error), silent)
            raise
        if reply.status in STATUSES_REFUSED:
            self.contact.record_failure(sent_s, f'status {reply.status}')
        else:
            self.contact.record_answer(sent_s)
        return reply

    async def _call_followed(self, client: HttpClient, call: _StoreCall) -> HttpReply:
        is_answered = partial(_is_answered, call.progress)
        try:
            return await self.contact.follow(partial(_send, client, call), is_answered)
        except CallAbandonedError as error:
            raise StoreCallLostError(f'{_describe(call)}: no reply: {error}') from error

    def _update_store_time(self, document: dict[str, Any], sent_s: float) -> None:
        with _wrap_decoding_errors():
            store_ms = float(document['now_ms'])
        self._store_time = StoreTime(store_ms, sent_s, self._clock.read_monotonic_s())


async def _send(client: HttpClient, call: _StoreCall) -> HttpReply:
    try:
        return await client.call(
            call.method, call.path, call.document, permit=call.permit, progress=call.progress
        )
    except CallNotPermittedError as error:
        raise StoreRefusedError(f'{_describe(call)}: {error}') from error
    except CALL_FAILURES as error:
        raise StoreUnavailableError(f'{_describe(call)}: no reply: {error!r}') from error


def _describe(call: _StoreCall) -> str:
    return f'{call.method} {call.path[:60]}'


def _is_answered(progress: CallProgress) -> bool:
    return progress.answered_bytes > 0


def _make_bulk_read(path: str) -> _StoreCall:
    return _StoreCall('GET', path, progress=CallProgress(is_bulk_read=True))


def _make_read_path(table: str, partition: str, bounds: str) -> str:
    query = f'table_name={quote(table, safe="")}&part={quote(partition, safe="")}{bounds}'
    return f'/v1/rows-get?{query}'


def _make_feed_path(table: str, after_version: int, wait_ms: int) -> str:
    table_name = quote(table, safe='')
    return f'/v1/rows-feed?table_name={table_name}&after={after_version}&wait_ms={wait_ms}'


def _decode_changes(reply: HttpReply) -> RowPage:
    if reply.status == STATUS_GONE:
        raise HistoryLostError('the store has dropped the changes after the version asked for')
    return _decode_page(_read_document(reply))


def _read_document(reply: HttpReply) -> dict[str, Any]:
    if reply.status in STATUSES_REFUSED:
        raise StoreRefusedError(f'the store refused the call: status {reply.status}')
    if reply.status in STATUSES_REJECTED:
        raise StoreRejectedError(
            f'the store rejected the call: status {reply.status}, body {reply.body[:200]!r}'
        )
    if reply.status not in (STATUS_OK, STATUS_CONFLICT):
        raise StoreUnavailableError(
            f'unexpected reply of the store: status {reply.status}, body {reply.body[:200]!r}'
        )
    with _wrap_decoding_errors():
        return dict(reply.read_json())


@contextlib.contextmanager
def _wrap_decoding_errors() -> Iterator[None]:
    """Raise StoreUnavailableError for errors of decoding a reply in the block.

    A reply in an unexpected form doesn't tell whether the call took effect.
    """
    try:
        yield
    except DECODING_ERRORS as error:
        raise StoreUnavailableError(f"reply of the store can't be decoded: {error!r}") from error


def _read_version(document: dict[str, Any]) -> int:
    with _wrap_decoding_errors():
        return int(document['schema_ver'])


def _encode_changes(partition: str, changes: Sequence[RowChange]) -> dict[str, Any]:
    rows = [
        (change, {'table_name': change.table, 'part': partition, 'key': change.key})
        for change in changes
    ]
    return {
        'expected_rev': [
            {**row, 'schema_ver': change.expected_version}
            for change, row in rows
            if change.expected_version is not None
        ],
        'write': [
            {**row, 'value': base64.b64encode(change.payload).decode()}
            for change, row in rows
            if change.payload is not None
        ],
        'remove': [row for change, row in rows if change.payload is None],
    }


def _decode_page(document: dict[str, Any]) -> RowPage:
    rows = _read_rows(document)
    return RowPage(rows, _read_version(document), bool(document.get('has_more')))


def _read_rows(document: dict[str, Any]) -> tuple[StoredRow, ...]:
    with _wrap_decoding_errors():
        return tuple(map(_decode_row, document['rows']))


def _decode_row(row: dict[str, Any]) -> StoredRow:
    encoded = None if row.get('deleted') else row.get('value')
    return StoredRow(
        str(row.get('table_name', '')),
        str(row.get('part', '')),
        str(row['key']),
        None if encoded is None else base64.b64decode(encoded),
        int(row.get('schema_ver', 0)),
    )
