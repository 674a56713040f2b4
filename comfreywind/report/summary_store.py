"""Stores result summaries on the platform, so that they outlive the entry."""

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

    Each process has two objects, for minutes and hours, named by entry and incarnation, so that a
    new process never overwrites the counts of its predecessor. The table `summaries` has a row for
    each process, from which the object names follow.
    """

    def __init__(self, tables: TableClient, objects: ObjectClient, process_name: str) -> None:
        """Use the given clients; the process name consists of entry name and incarnation."""
        self._tables = tables
        self._objects = objects
        self._process_name = process_name
        self._row_written = False

    async def run(self, recorder: ResultRecorder, interval_s: float) -> None:
        """Write the summaries every `interval_s` seconds until cancelled.

        Each write holds all counts, so the next one makes up for a failed one.
        """
        while True:
            await trio.sleep(interval_s)
            try:
                await self.write(recorder)
            except PlatformError as error:
                log.warning(
                    'failed to write the result summaries, the next write retries: %s', error
                )

    async def write(self, recorder: ResultRecorder) -> None:
        """Write both objects and, the first time, the row of this process."""
        minutes = encode_buckets(recorder.list_minutes())
        hours = encode_buckets(recorder.list_hours())
        await self._objects.write(
            self._format_object_name(self._process_name, KIND_MINUTES), minutes
        )
        await self._objects.write(self._format_object_name(self._process_name, KIND_HOURS), hours)
        if not self._row_written:
            await self._write_process_row()

    async def read(self, kind: str) -> list[ResultBucket]:
        """Return the buckets of the kind, minutes or hours, from all processes."""
        changes = await self._tables.read_changes(0, (TABLE_SUMMARIES,))
        buckets: list[ResultBucket] = []
        for row in changes.rows:
            document = await self._objects.read(self._format_object_name(row.key, kind))
            buckets.extend(decode_buckets(document))
        return buckets

    async def _write_process_row(self) -> None:
        write = RowWrite(TABLE_SUMMARIES, self._process_name, None, {'kinds': list(KINDS)})
        try:
            await self._tables.commit([write])
        except RowConflictError:
            log.info('the row of the summaries of %s exists already', self._process_name)
        self._row_written = True

    def _format_object_name(self, process_name: str, kind: str) -> str:
        return f'summaries-{process_name}-{kind}'
