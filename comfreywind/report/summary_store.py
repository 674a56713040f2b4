"""Leaves result summaries with the platform, so that they outlive the entry."""

import logging

import trio

from comfreywind.errors import PlatformError, RowConflictError
from comfreywind.platform.object_client import ObjectClient
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import TABLE_SUMMARIES
from comfreywind.report.bucket_codec import decode_buckets, encode_buckets
from comfreywind.report.result_bucket import ResultBucket
from comfreywind.report.result_recorder import ResultRecorder

KIND_MINUTES = 'minutes'
KIND_HOURS = 'hours'
KINDS = (KIND_MINUTES, KIND_HOURS)

log = logging.getLogger('comfreywind.report')


class SummaryStore:
    """Writes the summaries of one process and reads those of all.

    Each process has two objects of its own, for minutes and hours, named by entry and incarnation,
    so that a replaced process never overwrites what its predecessor counted. One row of the table
    `summaries` for each process tells which objects there are.
    """

    def __init__(self, tables: TableClient, objects: ObjectClient, process_name: str) -> None:
        """Use the given clients; the process name holds entry name and incarnation."""
        self._tables = tables
        self._objects = objects
        self._process_name = process_name
        self._listed = False

    async def run(self, recorder: ResultRecorder, interval_s: float) -> None:
        """Write the summaries in a fixed period for ever; a failed write is made up by the next."""
        while True:
            await trio.sleep(interval_s)
            try:
                await self.write(recorder)
            except PlatformError as error:
                log.warning('the summaries were not written: %s', error)

    async def write(self, recorder: ResultRecorder) -> None:
        """Write the summaries once."""
        minutes = encode_buckets(recorder.list_minutes())
        hours = encode_buckets(recorder.list_hours())
        await self._objects.write(self._name_object(self._process_name, KIND_MINUTES), minutes)
        await self._objects.write(self._name_object(self._process_name, KIND_HOURS), hours)
        if not self._listed:
            await self._list_process()

    async def read(self, kind: str) -> list[ResultBucket]:
        """Return the buckets of one kind from all processes."""
        changes = await self._tables.read_changes(0, (TABLE_SUMMARIES,))
        buckets: list[ResultBucket] = []
        for row in changes.rows:
            document = await self._objects.read(self._name_object(row.key, kind))
            buckets.extend(decode_buckets(document))
        return buckets

    async def _list_process(self) -> None:
        write = RowWrite(TABLE_SUMMARIES, self._process_name, None, {'kinds': list(KINDS)})
        try:
            await self._tables.commit([write])
        except RowConflictError:
            log.info('the summaries of %s are listed already', self._process_name)
        self._listed = True

    def _name_object(self, process_name: str, kind: str) -> str:
        return f'summaries-{process_name}-{kind}'
