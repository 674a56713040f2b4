"""Groups conditional writes of many requests into few transactions."""

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
    ending: WriteResult = WriteResult.LOST
    version: int | None = None


class GroupedWriter:
    """Keeps one transaction in flight; each carries up to 64 writes.

    The store checks all conditions of a transaction before it writes, so two writes to one row
    never share a transaction: both would pass.
    """

    def __init__(self, tables: TableClient) -> None:
        """Start with nothing queued."""
        self._tables = tables
        self._queue: deque[_QueuedWrite] = deque()
        self._queued = trio.Event()
        self._landed = trio.Event()
        self._landed.set()

    async def wait_for_flight(self) -> None:
        """Wait for the end of the transaction in flight, which may carry a cancelled write."""
        await self._landed.wait()

    async def write(self, write: RowWrite) -> tuple[WriteResult, int | None]:
        """Return how the write ended and the new version of its row; cancelling may lose it."""
        queued = _QueuedWrite(write)
        self._queue.append(queued)
        self._queued.set()
        try:
            await queued.ended.wait()
        except trio.Cancelled:
            if queued in self._queue:
                self._queue.remove(queued)
            raise
        return queued.ending, queued.version

    async def run(self) -> None:
        """Send groups for ever."""
        while True:
            await self._queued.wait()
            group = self._take_group()
            if group:
                self._landed = trio.Event()
                await self._send(group)
                self._landed.set()
            else:
                self._queued = trio.Event()

    def _take_group(self) -> list[_QueuedWrite]:
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
        """Send the group; the writes that conflict are taken out and the rest is sent again."""
        while group:
            try:
                versions = await self._tables.commit([queued.write for queued in group])
            except RowConflictError as conflict:
                group = _take_out(group, conflict)
                continue
            except StoreUnavailableError as error:
                log.warning('claims: the reply to a group of %d was lost: %s', len(group), error)
                _end(group, WriteResult.LOST)
                return
            _accept(group, versions)
            return


def _take_out(group: list[_QueuedWrite], error: RowConflictError) -> list[_QueuedWrite]:
    """End the writes that conflict and return the others."""
    conflicting = [
        queued for queued in group if (queued.write.table, queued.write.key) in error.conflicts
    ]
    _end(conflicting or group, WriteResult.CONFLICT)
    return [queued for queued in group if not queued.ended.is_set()]


def _accept(group: list[_QueuedWrite], versions: tuple[int, ...]) -> None:
    for queued, version in zip(group, versions, strict=True):
        queued.version = version
    _end(group, WriteResult.DONE)


def _end(group: list[_QueuedWrite], ending: WriteResult) -> None:
    for queued in group:
        queued.ending = ending
        queued.ended.set()
