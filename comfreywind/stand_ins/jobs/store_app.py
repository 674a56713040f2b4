"""HTTP side of the store stand-in."""

import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import trio

from comfreywind.http.asgi_body import read_json
from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import Receive, Scope, Send
from comfreywind.stand_ins.jobs.row_store import RowStore
from comfreywind.stand_ins.jobs.store_faults import PART_BACKLOG_S, StoreFaults

QUIET_POLL_S = 0.02
BODY_LIMIT_BYTES = 1_048_576
MS_PER_S = 1000
Query = dict[str, list[str]]
Machines = list[dict[str, object]]


class StoreApp:
    """Transactions, range reads and feeds over rows in memory.

    It lists the VMs that `list_machines` returns, and takes no orders for them.
    """

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.store = RowStore()
        self.faults = StoreFaults()
        self.list_machines: Callable[[], Machines] = list
        self._free_s: dict[str, float] = {}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        if self.faults.refusing:
            await send_json(send, 503, {})
            return
        if self.faults.silent:
            await trio.sleep_forever()
        await trio.sleep(self.faults.delay_s)
        query = parse_qs(scope['query_string'].decode(), keep_blank_values=True)
        path = scope['path']
        if path == '/v1/rows-tx':
            await self._commit(await read_json(receive, BODY_LIMIT_BYTES), send)
        elif path == '/v1/rows-get':
            await self._reply(send, 200, {'rows': self._read_range(query), 'has_more': False})
        elif path == '/v1/rows-feed':
            await self._feed(query, send)
        elif path == '/v1/machines':
            machines = self.list_machines()
            await self._reply(send, 200, {'machines': machines, 'next_token': None})
        else:
            await self._reply(send, 404, {})

    def write_document(self, table: str, key: str, document: object) -> None:
        """Write a JSON document as the operator or a target does."""
        self.store.put(table, key, base64.b64encode(json.dumps(document).encode()).decode())

    async def _commit(self, document: dict[str, Any], send: Send) -> None:
        expected = [(_name(row), int(row['schema_ver'])) for row in document['expected_rev']]
        changes = [(*_name(row), row['value']) for row in document['write']]
        changes.extend((*_name(row), None) for row in document['remove'])
        parts = {name[1] for name in (*(name for name, _ in expected), *changes)}
        if len(parts) > 1:
            await self._reply(send, 400, {})
            return
        if not await self._take_turn(parts):
            await self._reply(send, 429, {})
            return
        if not self.store.apply(expected, changes):
            rows = [self.store.describe(name) for name, _ in expected]
            await self._reply(send, 412, {'rows': rows})
            return
        if self.faults.lost_replies:
            self.faults.lost_replies -= 1
            await trio.sleep_forever()
        await self._reply(send, 200, {})

    async def _take_turn(self, parts: set[str]) -> bool:
        """Wait for the transactions before; return False when too many wait in a part."""
        now_s = trio.current_time()
        free_s = max((self._free_s.get(part, now_s) for part in parts), default=now_s)
        start_s = max(free_s, now_s)
        if start_s - now_s > PART_BACKLOG_S:
            return False
        end_s = start_s + self.faults.transaction_s
        self._free_s.update(dict.fromkeys(parts, end_s))
        await trio.sleep_until(end_s)
        return True

    def _read_range(self, query: Query) -> list[dict[str, Any]]:
        table, part = query['table_name'][0], query['part'][0]
        start = query.get('from', [''])[0]
        end = query.get('to', [None])[0]
        names = [
            name
            for name, stored in self.store.rows.items()
            if name[:2] == (table, part) and stored.value is not None
        ]
        within = [name for name in names if name[2] >= start and (end is None or name[2] < end)]
        return [self.store.describe(name) for name in sorted(within)]

    async def _feed(self, query: Query, send: Send) -> None:
        table, after = query['table_name'][0], int(query['after'][0])
        if after < self.store.oldest_history:
            await self._reply(send, 410, {})
            return
        with trio.move_on_after(int(query['wait_ms'][0]) / MS_PER_S):
            while self.faults.quiet_feeds:
                await trio.sleep(QUIET_POLL_S)
            while not self.store.list_changes(table, after):
                await self.store.wait_for_change()
        changes = [] if self.faults.quiet_feeds else self.store.list_changes(table, after)
        await self._reply(send, 200, {'rows': changes})

    async def _reply(self, send: Send, status: int, document: dict[str, Any]) -> None:
        clock = {'schema_ver': self.store.version, 'now_ms': trio.current_time() * MS_PER_S}
        await send_json(send, status, {**document, **clock})


def _name(row: dict[str, Any]) -> tuple[str, str, str]:
    return row['table_name'], row['part'], row['key']
