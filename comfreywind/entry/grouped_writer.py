"""Groups the conditional writes of many requests into few transactions."""

import logging
from collections import deque
from dataclasses import dataclass, field

import trio

from comfreywind.decisions.claim import WriteResult
from comfreywind.errors import RowConflictError, StoreUnavailableError
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient

GROUP_LIMIT = 64

log = logging.getLogger('comfreywind.claims')


@dataclass(slots=True)
class _QueuedWrite:
    write: RowWrite
    ended: trio.Event = field(default_factory=trio.Event)
    result: WriteResult = WriteResult.LOST
    version: int | None = None


class GroupedWriter:
    """Sends queued writes in transactions of up to 64 writes, one transaction at a time.

    Two writes to one row never share a transaction: the store checks all conditions before it
    writes anything, so both would pass.
    """

    def __init__(self, tables: TableClient) -> None:
        """Start with an empty queue."""
        self._tables = tables
        self._queue: deque[_QueuedWrite] = deque()
        self._not_empty = trio.Event()
        self._transaction_ended = trio.Event()
        self._transaction_ended.set()

    async def wait_for_transaction(self) -> None:
        """Wait until the transaction in flight, which may carry a cancelled write, has ended."""
        await self._transaction_ended.wait()

    async def write(self, write: RowWrite) -> tuple[WriteResult, int | None]:
        """Return the result of the write and the new version of its row, None unless it is done.

        If the call is cancelled, the write may still take effect when it is in flight already.
        """
        queued = _QueuedWrite(write)
        self._queue.append(queued)
        self._not_empty.set()
        try:
            await queued.ended.wait()
        except trio.Cancelled:
            if queued in self._queue:
                self._queue.remove(queued)
            raise
        return queued.result, queued.version

    async def run(self) -> None:
        """Send groups of queued writes until cancelled."""
        while True:
            await self._not_empty.wait()
            group = self._dequeue_group()
            if group:
                self._transaction_ended = trio.Event()
                await self._send(group)
                self._transaction_ended.set()
            else:
                self._not_empty = trio.Event()

    def _dequeue_group(self) -> list[_QueuedWrite]:
        group: dict[tuple[str, str], _QueuedWrite] = {}
        later: deque[_QueuedWrite] = deque()
        while self._queue and len(group) < GROUP_LIMIT:
            queued = self._queue.popleft()
            row = (queued.write.table, queued.write.key)
            if row in group:
                later.append(queued)
            else:
                group[row] = queued
        self._queue.extendleft(reversed(later))
        return list(group.values())

    async def _send(self, group: list[_QueuedWrite]) -> None:
        """Commit the group; after a conflict, commit the remaining writes without the failed ones."""
        while group:
            try:
                versions = await self._tables.commit([queued.write for queued in group])
            except RowConflictError as conflict:
                group = _end_conflicting(group, conflict)
                continue
            except StoreUnavailableError as error:
                log.warning(
                    'claims: no reply to a commit of %d writes, result unknown: %s',
                    len(group),
                    error,
                )
                _end_writes(group, WriteResult.LOST)
                return
            _end_committed(group, versions)
            return


def _end_conflicting(group: list[_QueuedWrite], error: RowConflictError) -> list[_QueuedWrite]:
    """End the writes that conflict, or all if none is named, and return the others."""
    conflicting = [
        queued for queued in group if (queued.write.table, queued.write.key) in error.conflicts
    ]
    _end_writes(conflicting or group, WriteResult.CONFLICT)
    return [queued for queued in group if not queued.ended.is_set()]


def _end_committed(group: list[_QueuedWrite], versions: tuple[int, ...]) -> None:
    for queued, version in zip(group, versions, strict=True):
        queued.version = version
    _end_writes(group, WriteResult.DONE)


def _end_writes(group: list[_QueuedWrite], result: WriteResult) -> None:
    for queued in group:
        queued.result = result
        queued.ended.set()
