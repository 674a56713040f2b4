"""Decisions in the object store."""

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
# An operator waits for the answer, and the store serves about 2,000 reads a second in all.
READ_LIMIT_OBJECTS = 400
READS_AT_ONCE = 8

log = logging.getLogger('comfreywind.decisions')


class DecisionStore:
    """Flushes the decision log and reads back the decisions of all entries.

    Each entry writes a ring of objects. The row of the entry in the table `decisions` counts the
    objects that it has written, so that any entry can find them, also those of an entry that is
    gone; the object store itself has no listing.
    """

    def __init__(
        self, entry: str, decisions: DecisionLog, tables: TableClient, objects: ObjectClient
    ) -> None:
        """Use the given parts."""
        self._entry = entry
        self._decisions = decisions
        self._tables = tables
        self._objects = objects
        self._written_count: int | None = None

    async def run(self, interval_s: float) -> None:
        """Flush in a fixed period until cancelled."""
        while True:
            await trio.sleep(interval_s)
            await self.flush()

    async def flush(self) -> None:
        """Write the new decisions; on a failure they stay for the next flush."""
        records = self._decisions.list_unflushed()
        if not records:
            return
        try:
            await self._write([record.to_document(self._entry) for record in records])
        except PlatformError as error:
            log.warning("the decisions can't be written: %s", error)
            return
        self._decisions.mark_flushed(len(records))

    async def find(self, subject: str) -> tuple[list[dict[str, Any]], bool]:
        """Return the stored decisions about the subject and whether all could be read.

        Raises PlatformError when the table of objects can't be read.
        """
        changes = await self._tables.read_changes(0, [TABLE_DECISIONS])
        names = [
            name
            for row in changes.rows
            for name in _list_objects(row.key, int((row.value or {}).get('written', 0)))
        ]
        found: list[dict[str, Any]] = []
        failed: list[str] = []
        limiter = trio.CapacityLimiter(READS_AT_ONCE)

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
        await self._objects.write(_name_object(self._entry, number), {'records': records})
        fields = {'written': self._written_count + 1}
        await self._tables.commit([RowWrite(TABLE_DECISIONS, self._entry, None, fields)])
        self._written_count += 1


def _list_objects(entry: str, written_count: int) -> list[str]:
    """Return the entry's objects, newest first."""
    numbers = range(written_count - 1, max(-1, written_count - 1 - OBJECTS_PER_ENTRY), -1)
    return [_name_object(entry, number % OBJECTS_PER_ENTRY) for number in numbers]


def _name_object(entry: str, number: int) -> str:
    return f'decisions-{entry}-{number}'
