"""Bulk reads of the store beside small calls, and what is read again after a failure."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from urllib.parse import parse_qs

import pytest
import trio

from comfreywind.clock import SystemClock
from comfreywind.decisions.transfer_limit import PART_BYTES
from comfreywind.platform import rows_client
from comfreywind.platform.rows_client import CALL_TIMEOUT_S, PAGE_ROWS, RowsClient
from comfreywind.settings.address import Address

PAGE_PARTS = 8
BULK_READS = 2
HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
ROW_PAGE = b'{"rows":[],"schema_ver":1,"now_ms":%d}'


class PartStore:
    """Sends pages part by part, single rows at once, and breaks the first reads that it is told to."""

    def __init__(self, part_pause_s: float) -> None:
        """Pause before each part of a page."""
        self.reads: Counter[str] = Counter()
        self.most_open = 0
        self.broken = {'p3'}
        self._open = 0
        self._pause_s = part_pause_s

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the reads of one connection."""
        async for head in stream:
            _, _, query = bytes(head).split()[1].decode().partition('?')
            fields = parse_qs(query, keep_blank_values=True)
            if int(fields['limit'][0]) != PAGE_ROWS:
                await stream.send_all(HEAD % len(ROW_PAGE % 2) + ROW_PAGE % 2)
            elif not await self._send_page(stream, fields['part'][0]):
                break

    async def _send_page(self, stream: trio.SocketStream, partition: str) -> bool:
        """Send a page; return whether it was sent whole."""
        is_broken = partition in self.broken
        self.broken.discard(partition)
        self.reads[partition] += 1
        self._open += 1
        self.most_open = max(self.most_open, self._open)
        body = (ROW_PAGE % 1).ljust(PART_BYTES * PAGE_PARTS)
        await stream.send_all(HEAD % len(body))
        for start in range(0, len(body), PART_BYTES):
            await trio.sleep(self._pause_s)
            await stream.send_all(body[start : start + PART_BYTES])
            if is_broken:
                break
        self._open -= 1
        return not is_broken


@asynccontextmanager
async def run_client(store: PartStore) -> AsyncIterator[RowsClient]:
    """Serve the store and give a client of it."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, host='127.0.0.1'), store.serve, 0)
        address = Address('127.0.0.1', listeners[0].socket.getsockname()[1])
        yield RowsClient(address, 0, SystemClock(), bulk_reads=BULK_READS)
        nursery.cancel_scope.cancel()


# Guards against renewals and callers' reads that wait behind the pages of all jobs.
async def test_small_call_beside_bulk_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reads one row at once while more pages are asked for than may be open."""
    # As many connections as bulk reads: none is left if they share them.
    monkeypatch.setattr(rows_client, 'CONNECTION_LIMIT', BULK_READS)
    store = PartStore(part_pause_s=0.25)
    partitions = [f'p{number}' for number in range(6)]
    async with run_client(store) as client, trio.open_nursery() as nursery:
        nursery.start_soon(client.read_partitions, 'table', partitions)
        while store.most_open < BULK_READS:
            await trio.sleep(0.01)
        with trio.fail_after(CALL_TIMEOUT_S):
            await client.read_row('table', 'p9', 'key')
        assert sum(store.reads.values()) < len(partitions)
    assert store.most_open == BULK_READS


# Guards against pages that are read in vain because the read of another one has failed.
async def test_failed_partition_is_read_again() -> None:
    """Reads again only the partition whose read has failed."""
    store = PartStore(part_pause_s=0.01)
    partitions = [f'p{number}' for number in range(6)]
    async with run_client(store) as client:
        pages = await client.read_partitions('table', partitions)
    assert [page.version for page in pages] == [1] * len(partitions)
    assert store.reads == Counter({**dict.fromkeys(partitions, 1), 'p3': 2})


# Guards against a term that is judged by a reading of the store's clock that is seconds inexact.
async def test_store_time_of_slow_read() -> None:
    """Keeps the last exact reading of the store's clock over a read that takes long."""
    store = PartStore(part_pause_s=1.2 * CALL_TIMEOUT_S / PAGE_PARTS)
    async with run_client(store) as client:
        await client.read_row('table', 'p9', 'key')
        exact = client.store_time
        await client.read_partition('table', 'p0')
        assert client.store_time is exact
