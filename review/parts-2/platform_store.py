"""Stand-in of the platform: its metadata store and its list of machines, as PROTOCOL.md has them.

It runs in the process of the case, which plays the operator with `put`. Executors report through
`PUT /stand-in/servers/ID`, which stands for the platform's own way of taking these reports.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import httpd

MS = 1000
ENTRY_LIMIT = 100
CALL_LIMIT_BYTES = 1_000_000
PAGE_ROWS = 500


class PlatformStore:
    def __init__(self, note, row_bytes=65536, tx_ms=6.0, heartbeat_s=1.5):
        self.note, self.row_bytes, self.tx_s = note, row_bytes, tx_ms / MS
        self.heartbeat_s = heartbeat_s
        self.rows, self.version, self.changes = {}, 0, []
        self.changed = asyncio.Event()
        self.locks, self.heard_s = {}, {}
        self.delay_s = 0.0
        self.down = False
        self.too_large = 0
        self.machines = {}
        self.maintain = None

    async def start(self, port):
        server = await httpd.serve('127.0.0.1', port, self.handle)
        return server, asyncio.create_task(self.expire())

    # The operator, and the entries of executors

    def put(self, table, key, document):
        value = None if document is None else base64.b64encode(json.dumps(document).encode()).decode()
        self.apply([((table, '', key), value)])

    def read(self, table, key):
        value = self.rows.get((table, '', key), (None, 0))[0]
        return None if value is None else json.loads(base64.b64decode(value))

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            for key, heard_s in list(self.heard_s.items()):
                if now_s - heard_s > 3 * self.heartbeat_s:
                    del self.heard_s[key]
                    self.put('servers', key, None)
                    self.note(f'platform: the entry of {key} is removed')

    def apply(self, changes):
        self.version += 1
        for name, value in changes:
            self.rows[name] = (value, self.version)
            self.changes.append((self.version, name))
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        if parts.path.startswith('/stand-in/servers/'):
            key = parts.path.rpartition('/')[2]
            document = json.loads(body)
            known = self.read('servers', key)
            if known is None or {**known, 'sequence': 0} != {**document, 'sequence': 0}:
                self.note(f'platform: entry of {key}, born {document["born"]}')
            self.heard_s[key] = time.monotonic()
            self.put('servers', key, document)
            return 200, {}
        if parts.path.startswith('/v1/machine'):
            return await self.handle_machines(method, parts.path, headers, body)
        if self.down:
            return 503, {}
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        query = {name: texts[0] for name, texts in parse_qs(parts.query, True).items()}
        if parts.path == '/v1/rows-tx':
            return await self.commit(body)
        if parts.path == '/v1/rows-get':
            return self.get(query)
        if parts.path == '/v1/rows-feed':
            return await self.feed(query)
        if parts.path == '/v1/rows-parts':
            names = sorted({name[1] for name, row in self.rows.items() if name[0] == query['table_name']})
            return self.answer(200, parts=[n for n in names if n > query.get('after', '')][:1000])
        return 404, {}

    def answer(self, status, **fields):
        return status, {'schema_ver': self.version, 'now_ms': time.monotonic() * MS, **fields}

    async def commit(self, body):
        document = json.loads(body)
        expected = [(name_of(row), row['schema_ver']) for row in document.get('expected_rev', [])]
        changes = [(name_of(row), row['value']) for row in document.get('write', [])]
        changes += [(name_of(row), None) for row in document.get('remove', [])]
        places = {name[1] for name, _ in expected} | {name[1] for name, _ in changes}
        if len(places) != 1 or len(expected) + len(changes) > ENTRY_LIMIT or len(body) > CALL_LIMIT_BYTES:
            return self.answer(400, error='not a transaction of one part within the limits')
        for name, value in changes:
            if name[0] in ('op', 'servers'):
                return self.answer(403)
            if value is not None and len(base64.b64decode(value)) > self.row_bytes:
                self.too_large += 1
                if self.too_large == 1:
                    size = len(base64.b64decode(value))
                    self.note(f'platform: a row of {size} bytes for {name} is refused, the limit is {self.row_bytes}')
                return self.answer(400, error='a value is larger than row_bytes')
        async with self.locks.setdefault(places.pop(), asyncio.Lock()):
            await asyncio.sleep(self.tx_s)
            if any(self.version_of(name) != version for name, version in expected):
                return self.answer(412, rows=[self.describe(name) for name, _ in expected])
            self.apply(changes)
        return self.answer(200)

    def version_of(self, name):
        value, version = self.rows.get(name, (None, 0))
        return 0 if value is None else version

    def describe(self, name):
        value, version = self.rows.get(name, (None, 0))
        row = {'table_name': name[0], 'part': name[1], 'key': name[2]}
        if value is None:
            return {**row, 'schema_ver': 0}
        return {**row, 'value': value, 'schema_ver': version}

    def get(self, query):
        table, part = query['table_name'], query.get('part', '')
        names = sorted(
            name
            for name, (value, _) in self.rows.items()
            if name[:2] == (table, part) and value is not None and name[2] >= query.get('from', '')
            and ('to' not in query or name[2] < query['to'])
        )
        limit = min(int(query.get('limit', PAGE_ROWS)), PAGE_ROWS)
        return self.answer(200, rows=[self.describe(name) for name in names[:limit]], has_more=len(names) > limit)

    async def feed(self, query):
        table, after = query['table_name'], int(query['after'])
        end_s = time.monotonic() + min(int(query.get('wait_ms', 0)), 30000) / MS
        while True:
            event = self.changed
            names = {}
            for version, name in reversed(self.changes):
                if version <= after:
                    break
                if name[0] == table:
                    names.setdefault(name, version)
            left_s = end_s - time.monotonic()
            if names or left_s <= 0:
                break
            try:
                await asyncio.wait_for(event.wait(), left_s)
            except asyncio.TimeoutError:
                pass
        rows = []
        for name, version in sorted(names.items(), key=lambda item: item[1]):
            row = self.describe(name)
            if 'value' not in row:
                row = {**row, 'deleted': True, 'schema_ver': version}
            rows.append(row)
        return self.answer(200, rows=rows)

    async def handle_machines(self, method, path, headers, body):
        if path == '/v1/machines':
            return 200, {'machines': list(self.machines.values()), 'next_token': None}
        order = json.loads(body)
        machine = self.machines.get(order['machine'])
        if machine is None:
            return 400, {}
        if path == '/v1/machine-upkeep' and self.maintain is not None:
            return await self.maintain(machine, order)
        return 409, {'reason': 'busy'}


def name_of(row):
    return row['table_name'], row.get('part', ''), row['key']
