"""Writes decisions to the object store and reads them back."""

import logging
from typing import Any

import trio

from comfreywind.errors import PlatformError
from comfreywind.platform.object_client import ObjectClient
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import TABLE_DECISIONS
from comfreywind.report.decision_log import DecisionLog

OBJECTS_PER_ENTRY = 50
# Bounds the time that an operator waits; the store serves about 2,000 reads per second in total.
READ_LIMIT_OBJECTS = 400
MAX_CONCURRENT_READS = 8

log = logging.getLogger('comfreywind.decisions')


class DecisionStore:
    """Flushes the decision log and reads back the decisions of all entries.

    Each entry writes to a ring of `OBJECTS_PER_ENTRY` objects. Its row in the table `decisions`
    counts the objects written, so that any entry can find them, even those of a removed entry; the
    object store itself can't list objects.
    """

    def __init__(
        self, entry: str, decisions: DecisionLog, tables: TableClient, objects: ObjectClient
    ) -> None:
        """Use the given log and clients; `entry` is the name of this entry."""
        self._entry = entry
        self._decisions = decisions
        self._tables = tables
        self._objects = objects
        self._written_count: int | None = None

    async def run(self, interval_s: float) -> None:
        """Flush every `interval_s` seconds until cancelled."""
        while True:
            await trio.sleep(interval_s)
            await self.flush()

    async def flush(self) -> None:
        """Write the unflushed decisions; after a failure the next flush retries them."""
        records = self._decisions.list_unflushed()
        if not records:
            return
        try:
            await self._write([record.to_document(self._entry) for record in records])
        except PlatformError as error:
            log.warning(
                'failed to write decisions to the object store, the next flush retries: %s', error
            )
            return
        self._decisions.mark_flushed(len(records))

    async def find(self, subject: str) -> tuple[list[dict[str, Any]], bool]:
        """Return the stored decisions about the subject and whether all objects could be read.

        Raises PlatformError when the table `decisions` can't be read.
        """
        changes = await self._tables.read_changes(0, [TABLE_DECISIONS])
        names = [
            name
            for row in changes.rows
            for name in _list_object_names(row.key, int((row.value or {}).get('written', 0)))
        ]
        found: list[dict[str, Any]] = []
        failed: list[str] = []
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_READS)

        async def read(name: str) -> None:
            async with limiter:
                try:
                    found.extend(await self._read_object(name, subject))
                except PlatformError:
                    failed.append(name)

        async with trio.open_nursery() as nursery:
            for name in names[:READ_LIMIT_OBJECTS]:
                nursery.start_soon(read, name)
        return found, not failed and len(names) <= READ_LIMIT_OBJECTS

    async def _read_object(self, name: str, subject: str) -> list[dict[str, Any]]:
        document: Any = await self._objects.read(name)
        return [record for record in document['records'] if record['subject'] == subject]

    async def _write(self, records: list[dict[str, Any]]) -> None:
        if self._written_count is None:
            row = await self._tables.read_row(TABLE_DECISIONS, self._entry)
            self._written_count = 0 if row is None else int((row.value or {})['written'])
        number = self._written_count % OBJECTS_PER_ENTRY
        await self._objects.write(_format_object_name(self._entry, number), {'records': records})
        fields = {'written': self._written_count + 1}
        await self._tables.commit([RowWrite(TABLE_DECISIONS, self._entry, None, fields)])
        self._written_count += 1


def _list_object_names(entry: str, written_count: int) -> list[str]:
    """Return the names of the entry's objects, newest first."""
    numbers = range(written_count - 1, max(-1, written_count - 1 - OBJECTS_PER_ENTRY), -1)
    return [_format_object_name(entry, number % OBJECTS_PER_ENTRY) for number in numbers]


def _format_object_name(entry: str, number: int) -> str:
    return f'decisions-{entry}-{number}'
