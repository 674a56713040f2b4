"""Stand-ins of the platform's store, its machine list and executors, and helpers for the scripts.

They follow PROTOCOL.md of the users' pages; where that is silent they behave like sound ones. All
run in the process of the script, on loopback and the real clock. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

HOST = '127.0.0.1'
REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

# Bounds of a small deployment (prevoz-plan), as its settings give them.
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.05
TX_S = 0.006
ANSWER_S = 0.004
ENDS_PER_REPORT = 500
# Exit status of a case that broke the rule; run.sh turns it into 1, and any other error into 2.
BROKEN = 3


def now_s():
    """Return the steady clock."""
    return time.monotonic()


_given_ports = set()


def find_ports(count):
    """Return free ports below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _given_ports.add(port)
        ports.append(port)
    return ports


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.started_s = now_s()
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')

    def elapsed(self):
        return now_s() - self.started_s

    def write(self, text):
        self._file.write(f'{self.elapsed():8.3f} {text}\n')
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class HttpServer:
    """A small HTTP/1.1 server; `handle` returns (status, document), or None to leave no answer."""

    def __init__(self, port, handle):
        self.port = port
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**21, backlog=512, reuse_address=True
        )

    def crash(self):
        """Stop at once: the port closes and all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ', 2)
        headers = {}
        for line in lines[1:]:
            name, found, text = line.partition(':')
            if found:
                headers[name.strip().lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', '0')))
        answer = await self._handle(method, target, headers, body)
        if answer is None:
            await asyncio.sleep(3600)
        status, document = answer
        payload = json.dumps(document).encode()
        writer.write(
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(payload)}\r\n\r\n'.encode() + payload
        )
        await writer.drain()
        return True


class Store:
    """The platform's store: rows with versions, transactions on one part, feeds."""

    def __init__(self, port):
        self.port = port
        self.version = 0
        self.rows = {}
        self.log = []
        self.tx_s = TX_S
        self.answer_s = ANSWER_S
        self._free_s = {}
        self._change = asyncio.Event()
        self.server = HttpServer(port, self.handle)
        # Called with the rows of each transaction of a node that took effect.
        self.on_commit = lambda rows: None

    def put(self, table, key, document, part=''):
        """Write or remove a row as the operator or an executor does."""
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([((table, part, key), value)])

    def _apply(self, changes):
        self.version += 1
        for name, value in changes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.log.append((self.version, name, value))
        self._change.set()
        self._change = asyncio.Event()

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == '/v1/rows-tx':
            return await self._transact(json.loads(body))
        if url.path == '/v1/rows-feed':
            return await self._feed(query)
        await asyncio.sleep(self.answer_s)
        if url.path == '/v1/rows-get':
            return self._answer(200, self._get(query))
        if url.path == '/v1/rows-parts':
            parts = sorted({n[1] for n in self.rows if n[0] == query['table_name']})
            return self._answer(200, {'parts': parts})
        return 404, {}

    def _answer(self, status, document):
        document['schema_ver'] = self.version
        document['now_ms'] = now_s() * 1000
        return status, document

    def _describe(self, name):
        table, part, key = name
        row = {'table_name': table, 'part': part, 'key': key}
        stored = self.rows.get(name)
        if stored is None:
            return {**row, 'schema_ver': 0, 'deleted': True}
        return {**row, 'value': stored[0], 'schema_ver': stored[1]}

    async def _transact(self, document):
        def name(row):
            return row['table_name'], row.get('part', ''), row['key']

        expected = [(name(row), int(row['schema_ver'])) for row in document.get('expected_rev', [])]
        changes = [(name(row), row['value']) for row in document.get('write', [])]
        changes += [(name(row), None) for row in document.get('remove', [])]
        if any(n[0] in ('op', 'servers') for n, _ in changes):
            return self._answer(403, {})
        parts = {n[1] for n, _ in (*expected, *changes)}
        if len(parts) > 1:
            return self._answer(400, {})
        part = next(iter(parts), '')
        start_s = max(self._free_s.get(part, 0), now_s())
        if start_s - now_s() > 1:
            return self._answer(429, {})
        self._free_s[part] = start_s + self.tx_s
        await asyncio.sleep(start_s + self.tx_s - now_s())
        if any(self.rows.get(n, (None, 0))[1] != version for n, version in expected):
            return self._answer(412, {'rows': [self._describe(n) for n, _ in expected]})
        self._apply(changes)
        self.on_commit(changes)
        # The version of this transaction, although another may follow before the answer is sent.
        status, answer = self._answer(200, {})
        await asyncio.sleep(self.answer_s)
        return status, answer

    def _get(self, query):
        table, part = query['table_name'], query.get('part', '')
        start, end = query.get('from', ''), query.get('to')
        limit = min(int(query.get('limit', 500)), 500)
        keys = sorted(
            n[2]
            for n in self.rows
            if n[0] == table and n[1] == part and n[2] >= start and (end is None or n[2] < end)
        )
        rows = [self._describe((table, part, key)) for key in keys[:limit]]
        return {'rows': rows, 'has_more': len(keys) > limit}

    async def _feed(self, query):
        table, after = query['table_name'], int(query['after'])
        until_s = now_s() + int(query.get('wait_ms', 0)) / 1000
        while True:
            newest = {}
            for version, name, value in reversed(self.log):
                if version <= after:
                    break
                if name[0] == table and name not in newest:
                    newest[name] = (version, value)
            if newest or now_s() >= until_s:
                break
            event = self._change
            try:
                await asyncio.wait_for(event.wait(), until_s - now_s())
            except asyncio.TimeoutError:
                pass
        await asyncio.sleep(self.answer_s)
        rows = []
        for name, (version, value) in sorted(newest.items(), key=lambda item: item[1][0]):
            row = {'table_name': name[0], 'part': name[1], 'key': name[2], 'schema_ver': version}
            rows.append({**row, 'deleted': True} if value is None else {**row, 'value': value})
        # Versions up to the one of the moment at which the list was made.
        if len(self.log) > 200_000:
            del self.log[:100_000]
        answer = {'rows': rows, 'now_ms': now_s() * 1000}
        answer['schema_ver'] = max([after, *(version for version, _ in newest.values())])
        return 200, answer


class Run:
    """A run on an executor."""

    def __init__(self, task, run_id, spec, started_s, work_s, checkpoint):
        self.task = task
        self.run_id = run_id
        self.spec = spec
        self.started_s = started_s
        self.work_s = work_s
        self.checkpoint = checkpoint
        self.stopping_s = None

    def percent(self):
        if self.work_s is None:
            return 100
        return min(100, int(100 * (now_s() - self.started_s) / self.work_s))


class Runs:
    """What ran on all executors, for the checks: starts and ends in order."""

    def __init__(self, record):
        self.record = record
        self.starts = []
        self.ends = []
        # (executor, task, run) -> True once `last_seen` has reached its end.
        self.noted = {}

    def add_start(self, executor, run):
        self.starts.append((now_s(), executor, run.task, run.run_id))
        self.record.write(f'start {run.task} run {run.run_id} on {executor}')

    def add_end(self, executor, run, how):
        self.ends.append((now_s(), executor, run.task, run.run_id, how))
        self.record.write(f'end {run.task} run {run.run_id} on {executor}: {how}')

    def add_noted(self, executor, task, run_id):
        self.noted[executor, task, run_id] = now_s()

    def list_overlaps(self):
        """Return pairs of runs of one task that were under way at the same time."""
        ended = {(e, t, r): at for at, e, t, r, _ in self.ends}
        spans = {}
        for at, executor, task, run_id in self.starts:
            end = ended.get((executor, task, run_id), float('inf'))
            spans.setdefault(task, []).append((at, end, executor, run_id))
        pairs = []
        for task, runs in spans.items():
            runs.sort()
            for index, first in enumerate(runs):
                for second in runs[index + 1 :]:
                    if second[0] < first[1]:
                        pairs.append((task, first, second))
        return pairs

    def list_repeated(self):
        """Return starts of tasks after a run of theirs had ended `done`, which was taken note of."""
        done = {}
        for at, executor, task, run_id, how in self.ends:
            if how == 'done' and (executor, task, run_id) in self.noted:
                done.setdefault(task, (at, executor, run_id))
        return [
            (task, done[task], (at, executor, run_id))
            for at, executor, task, run_id in self.starts
            if task in done and at > done[task][0]
        ]


class Executor:
    """One executor: runs tasks under a lease, a fence and its capacity, and registers itself."""

    def __init__(self, name, port, store, runs, service, capacity, machine='', labels=('a', 'r1-1')):
        self.name = name
        self.port = port
        self.store = store
        self.log = runs
        self.service = service
        self.capacity = capacity
        self.machine = machine
        self.labels = list(labels)
        self.alive = False
        # With an advice service: whether a start has a valid ticket.
        self.check_ticket = lambda order: True
        self.requests = {}
        self.refused = 0

    async def start(self):
        """Begin a life: nothing runs, and no fence has been seen."""
        self.alive = True
        self.born_ms = int(time.time() * 1000)
        self._clock_zero_s = now_s() - 1000
        self.fence = 0
        self.active = {}
        self.ended = []
        self.ended_count = 0
        self.seen = 0
        self.highest = {}
        self.lease_ms = 0
        self.sequence = 0
        self._news = asyncio.Event()
        self.server = HttpServer(self.port, self.handle)
        await self.server.start()
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._work())]

    def crash(self):
        """End at once, as a process does that is killed; what ran is gone."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        self.server.crash()
        for run in self.active.values():
            self.log.add_end(self.name, run, 'lost with its executor')
        self.active = {}

    def unregister(self):
        self.store.put('servers', self.name, None)

    def clock_ms(self):
        return int((now_s() - self._clock_zero_s) * 1000)

    def find_free(self):
        used_cpu = sum(self._requests(run.task)[0] for run in self.active.values())
        used_mem = sum(self._requests(run.task)[1] for run in self.active.values())
        return self.capacity['cpu'] - used_cpu, self.capacity['mem_mb'] - used_mem

    def _requests(self, task):
        job, _, step, _ = task.split('.')
        return self.requests.get((job, int(step)), (0, 0))

    async def _beat(self):
        while True:
            self.sequence += 1
            entry = {
                'service': self.service,
                'address': f'{HOST}:{self.port}',
                'zone': 'vltava',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'cold_left_ms': 0,
                'sequence': self.sequence,
                'capacity': self.capacity,
                'labels': self.labels,
                'machine': self.machine,
                'born': self.born_ms,
            }
            self.store.put('servers', self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            now = now_s()
            lapsed = self.clock_ms() > self.lease_ms
            for run in list(self.active.values()):
                if lapsed:
                    self._end(run, 'lapsed')
                elif run.stopping_s is not None and now >= run.stopping_s:
                    self._end(run, 'stopped')
                elif run.work_s is not None and now - run.started_s >= run.work_s:
                    self._end(run, 'done')

    def _end(self, run, how):
        del self.active[run.task]
        self.highest[run.task] = max(run.run_id, self.highest.get(run.task, 0))
        self.ended_count += 1
        self.ended.append([self.ended_count, run.task, run.run_id, how, ''])
        self.log.add_end(self.name, run, how)
        self._news.set()
        self._news = asyncio.Event()

    async def handle(self, method, target, headers, body):
        if not self.alive:
            return None
        expected = headers.get('comfreywind-expected-instance')
        if expected is not None and expected != self.name:
            return 421, {}
        order = json.loads(body or b'{}')
        fence = int(order.get('fencing_token', 0))
        if fence < self.fence:
            return self._answer(409, {'reason': 'fence'})
        self.fence = fence
        if target == '/v1/run-start':
            return self._start(order)
        if target == '/v1/run-stop':
            return self._stop(order)
        if target == '/v1/hold':
            return await self._hold(order)
        if target == '/v1/pace':
            return self._answer(200, {})
        return 404, {}

    def _answer(self, status, document):
        return status, {**document, 'clock_ms': self.clock_ms(), 'born': self.born_ms}

    def _extend(self, expires_ms):
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(int(expires_ms), limit_ms))

    def _start(self, order):
        task, run_id = order['task_id'], int(order['run_id'])
        if order['expires_ms'] <= self.clock_ms():
            return self._answer(409, {'reason': 'late'})
        self._extend(order['expires_ms'])
        present = self.active.get(task)
        if present is not None and present.run_id == run_id:
            return self._answer(200, {})
        if run_id <= self.highest.get(task, 0):
            return self._answer(409, {'reason': 'old'})
        if not self.check_ticket(order):
            self.refused += 1
            return self._answer(409, {'reason': 'ticket'})
        spec = json.loads(order['spec'])
        job, _, step, _ = task.split('.')
        cpu, mem = spec['cpu'], spec['mem_mb']
        free_cpu, free_mem = self.find_free()
        if cpu > free_cpu or mem > free_mem or present is not None:
            return self._answer(409, {'reason': 'room'})
        self.requests[job, int(step)] = (cpu, mem)
        work_ms = spec.get('work_ms')
        run = Run(
            task,
            run_id,
            order['spec'],
            now_s(),
            None if work_ms is None else work_ms / 1000,
            order.get('checkpoint', ''),
        )
        self.active[task] = run
        self.log.add_start(self.name, run)
        return self._answer(200, {})

    def _stop(self, order):
        task, run_id = order['task_id'], int(order['run_id'])
        run = self.active.get(task)
        if run is not None and run.run_id <= run_id:
            run.stopping_s = run.stopping_s or now_s() + STOP_S
        elif run is None:
            self.highest[task] = max(run_id, self.highest.get(task, 0))
        return self._answer(200, {})

    async def _hold(self, order):
        if 'expires_ms' in order:
            self._extend(order['expires_ms'])
        self._see(int(order.get('last_seen', 0)))
        until_s = now_s() + min(int(order.get('wait_ms', 0)), 2000) / 1000
        while not self.ended and now_s() < until_s:
            event = self._news
            try:
                await asyncio.wait_for(event.wait(), until_s - now_s())
            except asyncio.TimeoutError:
                break
        active = [
            [run.task, run.run_id, run.checkpoint, run.percent(), 0] for run in self.active.values()
        ]
        return self._answer(200, {'active': active, 'finished': self.ended[:ENDS_PER_REPORT]})

    def _see(self, last_seen):
        if last_seen <= self.seen:
            return
        self.seen = last_seen
        for number, task, run_id, _, _ in self.ended:
            if number <= last_seen:
                self.log.add_noted(self.name, task, run_id)
        self.ended = [end for end in self.ended if end[0] > last_seen]


class Cloud:
    """The machine service: a list, moves and upkeep. `executors` maps machines to executors."""

    def __init__(self, port, record):
        self.port = port
        self.record = record
        self.machines = {}
        self.orders = []
        self.on_order = None
        self.server = HttpServer(port, self.handle)

    def add(self, executor):
        self.machines[executor.machine] = {
            'machine': executor.machine,
            'pool': executor.service,
            'state': 'up',
            'zone': 'vltava',
            'labels': executor.labels,
            'capacity': executor.capacity,
            'id': executor.name,
        }

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(ANSWER_S)
        path = urlsplit(target).path
        if path == '/v1/machines':
            return 200, {'machines': list(self.machines.values()), 'next_token': None}
        order = json.loads(body)
        fence = int(headers.get('comfreywind-fencing-token', 0))
        holder = headers.get('comfreywind-lease-holder', '')
        self.orders.append((now_s(), path, order, fence, holder))
        self.record.write(f'platform: {path} {json.dumps(order)} fence {fence} holder {holder}')
        if self.on_order is not None:
            return await self.on_order(path, order, fence)
        return 409, {'reason': 'busy'}


class Advice:
    """The advice service: which executors may run a step. It serves one call at a time."""

    def __init__(self, port, record, may_run, decision_ms=60, per_worker_ms=2, validity_ms=20_000):
        self.port = port
        self.record = record
        self.may_run = may_run
        self.decision_ms = decision_ms
        self.per_worker_ms = per_worker_ms
        self.validity_ms = validity_ms
        self.executors = {}
        self._tickets = {}
        self._turn = asyncio.Lock()
        self.server = HttpServer(port, self.handle)

    def describe(self):
        """Return what the configuration of the queue tells."""
        return {
            'decision_ms': self.decision_ms,
            'per_worker_ms': self.per_worker_ms,
            'validity_ms': self.validity_ms,
        }

    def add(self, executor):
        self.executors[executor.name] = executor
        executor.check_ticket = lambda order: self._check(executor, order)

    async def handle(self, method, target, headers, body):
        question = json.loads(body)
        async with self._turn:
            workers = question['workers'][:100]
            await asyncio.sleep((self.decision_ms + self.per_worker_ms * len(workers)) / 1000)
        approved = []
        for name in workers:
            executor = self.executors.get(name)
            if executor is not None and executor.alive and self.may_run(name):
                ticket = f't{len(self._tickets)}'
                valid_until_s = now_s() + self.validity_ms / 1000
                self._tickets[ticket] = (name, executor.born_ms, question['step_id'], valid_until_s)
                approved.append([name, ticket])
        self.record.write(
            f'advice on {question["step_id"]}: asked about {len(workers)} executors '
            f'({workers[0]} to {workers[-1]}), approved {[row[0] for row in approved]}'
        )
        return 200, {'approved': approved}

    def _check(self, executor, order):
        name, born_ms, step, valid_until_s = self._tickets.get(order.get('ticket'), ('', 0, '', 0))
        same = (name, born_ms) == (executor.name, executor.born_ms)
        return same and order['task_id'].startswith(f'{step}.') and now_s() < valid_until_s


class Proxy:
    """A link of one node to one service, which can be cut; nothing that is on it gets lost.

    While it is cut, bytes and the ends of connections wait, as they do in the sender's system, which
    sends them again until they arrive. They are dropped if the sender resets the connection.
    """

    def __init__(self, port, target_port):
        self.port = port
        self._target_port = target_port
        self._open = asyncio.Event()
        self._open.set()
        self._server = None
        # Gets each piece that the node sends; may cut the link before the piece passes.
        self.on_piece = lambda piece: None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def _serve(self, reader, writer):
        try:
            await self._open.wait()
            far_reader, far_writer = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, far_writer, self._watch), self._copy(far_reader, writer, None)
        )
        far_writer.close()
        writer.close()

    def _watch(self, piece):
        self.on_piece(piece)

    async def _copy(self, reader, writer, watch):
        try:
            while True:
                piece = await reader.read(65_536)
                if piece and watch is not None:
                    watch(piece)
                await self._open.wait()
                if reader.exception() is not None:
                    raise reader.exception()
                if not piece:
                    break
                writer.write(piece)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()


class Node:
    """A process of the product, started with the command of the deploy file."""

    def __init__(self, name, folder, store_port, cloud_port=None, record=None, advice_port=None):
        self.name = name
        self.record = record
        self.folder = Path(folder)
        self.front, self.ready, self.control, self.inner, self.metrics = find_ports(5)
        self.settings = self.folder / f'{name}.toml'
        self.log_path = self.folder / f'{name}.log'
        self.process = None
        lines = [
            f'node_name = "{name}"',
            'role = "node"',
            'machine_class = "edge"',
            'serves = ["edge"]',
            f'ip = "{HOST}"',
            'zone = "vltava"',
            'region = "cz-stred"',
            f'internal_ports = [{self.inner},{self.inner}]',
            'seed_nodes = []',
            'bootstrap = true',
            'fault_counted = true',
            'discovery = "platform"',
            'entry = "vip"',
            f'heartbeat_ms = {int(HEARTBEAT_S * 1000)}',
            'contracts = ["base","drain","config","cost","recover","sched","tenants","quota",'
            '"platform","advice","upkeep","sharing"]',
            'commands = "invoke"',
            f'recommendation = "{HOST}:{advice_port}"' if advice_port else 'recommendation = ""',
            '[zones]',
            'vltava = "cz-stred"',
            '[listen_addrs]',
            f'frontend = "{HOST}:{self.front}"',
            f'ready = "{HOST}:{self.ready}"',
            f'control_plane = "{HOST}:{self.control}"',
            '[limits]',
            'cpu_quota = 0.537',
            'cores = 2',
            'memory_mb = 300',
            'max_fds = 4100',
            'link_mbps = 1000.0',
            'disk_mb = 0',
            '[fault_tolerance]',
            'machines = 2',
            'zones = 0',
            'regions = 0',
            '[bounds]',
            'seed_lag_s = 3',
            'reuse_after_s = 2',
            'contact_ms = 3000',
            'ack_ms = 4000',
            'catch_up_s = 4',
            'drain_ms = 2000',
            'grace_s = 6',
            'loss_slack_ms = 200',
            'config_apply_ms = 2000',
            'rollback_slack_ms = 250',
            'max_skew_ms = 5000',
            'strict_revoke = false',
            'revoke_ms = 5000',
            'quota_window_s = 5',
            'quota_overrun = 0.1',
            'quota_slack = 20',
            'recovery_s = 12',
            f'hold_max_ms = {HOLD_MAX_MS}',
            'stop_grace_ms = 200',
            'gang_wait_ms = 3000',
            'cancel_ms = 3000',
            'visible_ms = 3000',
            'early_ms = 250',
            'finish_s = 14',
            'status_s = 120',
            'remote_factor = 2',
            'checkpoint_interval_s = 0.5',
            'restore_ms = 100',
            'notice_ms = 4500',
            'migrate_s = 1.5',
            'maintenance_s = 2',
            'fencing_enforced = false',
            'lease_ms = 3000',
            'thaw_ms = 300',
            'throttle_delay_ms = 100',
            'impact_ms = 4000',
            '[platform]',
            f'address = "{HOST}:{store_port}"',
            'form = "table"',
            'writes_per_s = 800',
            'reads_per_s = 2000',
            'tx_ms = 6.0',
            'part_writes_s = 200',
            'row_bytes = 65536',
            'cross_part = false',
            'history_s = 20',
            'blob_bytes = 8388608',
            'blob_ms = 25.0',
            'blob_mb_s = 80.0',
        ]
        if cloud_port is not None:
            lines += [
                '[cloud_api]',
                f'address = "{HOST}:{cloud_port}"',
                'rate_per_s = 64.0',
                'duties = []',
                'duty_per_s = 64.0',
            ]
        self.settings.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    async def start(self):
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['COMFREYWIND_CONFIG'] = str(self.settings)
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = open(self.log_path, 'ab')
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'comfreywind',
            'node',
            '--metrics',
            f'{HOST}:{self.metrics}',
            cwd=REPOSITORY,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._note('started')

    def _note(self, text):
        if self.record is not None:
            self.record.write(f'node {self.name}: {text}')

    def send_signal(self, number):
        self._note(f'gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def wait_ready(self, limit_s=20):
        until_s = now_s() + limit_s
        while now_s() < until_s:
            if self.process.returncode is not None:
                break
            try:
                answer = await request(self.ready, 'GET', '/v1/readyz', timeout_s=1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                answer = None
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'node {self.name} is not ready after {limit_s} s')


class CannotRun(Exception):
    """The case could not run."""


async def request(port, method, path, document=None, headers=None, timeout_s=3.0):
    """Send one request on a connection of its own; return the status and the document."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            body = b'' if document is None else json.dumps(document).encode()
            lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(body)}']
            lines += [f'{name}: {text}' for name, text in (headers or {'Host': 'x'}).items()]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            status = int(head.split(' ', 2)[1])
            length = 0
            for line in head.split('\r\n')[1:]:
                name, _, text = line.partition(':')
                if name.strip().lower() == 'content-length':
                    length = int(text)
            payload = await reader.readexactly(length)
            try:
                return status, json.loads(payload) if payload else {}
            except ValueError:
                return status, {}
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


QUEUE_HOST = 'jobs.example'
PREFIX = '/rebuild/'
KEY = 'key-of-crews'
POOL = 'crossings'


def make_config(**changes):
    """Return a configuration with one queue, one pool and one tenant without a limit."""
    route = {
        'name': 'rebuild',
        'host': QUEUE_HOST,
        'prefix': PREFIX,
        'service': POOL,
        'kind': 'non_idempotent',
        'timeout_ms': 3000,
        'max_attempts': 3,
        'stretch_factor': 1.6,
        'target_latency_ms': 600,
        'priority': 0,
        **changes,
    }
    return {
        'version': 7,
        'routes': [route],
        'services': [{'name': POOL, 'admission_control': True}],
        'tenants': [
            {
                'name': 'crews',
                'api_keys': [KEY],
                'weight': 10,
                'cap': {'cpu': 0, 'mem_mb': 0, 'gpu': 0},
            }
        ],
        'limits': {},
    }


class Client:
    """A caller of the queue; a request without an answer is sent again at another node."""

    def __init__(self, record):
        self.record = record

    async def call(self, node, method, job_id, document=None):
        headers = {
            'Host': QUEUE_HOST,
            'Authorization': f'Bearer {KEY}',
            'Content-Type': 'application/json',
            'Comfreywind-Deadline-Ms': '3000',
        }
        try:
            return await request(node.front, method, PREFIX + job_id, document, headers)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None, {}

    async def submit(self, nodes, job_id, job):
        """Hand a job in until it is accepted."""
        for attempt in range(40):
            node = nodes[attempt % len(nodes)]
            status, document = await self.call(node, 'POST', job_id, job)
            self.record.write(f'POST {job_id} at {node.name}: {status} {json.dumps(document)}')
            if status is not None and 200 <= status < 300:
                return
            await asyncio.sleep(0.25)
        raise CannotRun(f'job {job_id} is not accepted')

    async def read_state(self, nodes, job_id):
        """Return the state that a node tells, or None without a 200."""
        for node in nodes:
            status, document = await self.call(node, 'GET', job_id)
            if status == 200:
                return document.get('state')
        return None


def make_job(count, work_ms, cpu, mem_mb, **fields):
    """Return a job of one step; its spec tells the executor what a task takes and how long."""
    spec = {'work_ms': work_ms, 'cpu': cpu, 'mem_mb': mem_mb}
    step = {
        'count': count,
        'cpu': cpu,
        'mem_mb': mem_mb,
        'estimate_ms': work_ms or 1000,
        **fields,
    }
    return {'spec': json.dumps(spec), 'steps': [step]}


def find_holder(store, nodes):
    """Return the node that the row of the term names, or None."""
    row = None
    for name, (value, _) in store.rows.items():
        if name[0] == 'comfreywind-term' and name[2] == 'holder':
            row = value
    if row is None:
        return None
    packed = base64.b64decode(row)
    for node in nodes:
        if node.name.encode() in packed:
            return node
    return None


async def wait_until(condition, limit_s, what):
    """Wait for a condition; raise CannotRun at the limit."""
    until_s = now_s() + limit_s
    while now_s() < until_s:
        result = condition()
        if result:
            return result
        await asyncio.sleep(0.01)
    raise CannotRun(f'{what}: not within {limit_s} s')


def run_case(folder, case):
    """Run `case(record, temporary folder, nodes)`; end all processes; exit with its result.

    The case returns a text that tells how the rule was broken, or None. `nodes` is a list to which
    it adds the processes that it starts.
    """
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix='review-')
    nodes = []

    async def run():
        try:
            return await asyncio.wait_for(case(record, temporary, nodes), float(os.environ.get("CASE_LIMIT_S", "110")))
        finally:
            for node in nodes:
                await node.kill()

    record.write(f'disruption: {"on" if TROUBLE else "off"}')
    try:
        broken = asyncio.run(run())
    except Exception as error:
        record.say(f'could not run: {error!r}')
        for node in nodes:
            if node.log_path.exists():
                record.write(f'--- log of {node.name}\n{node.log_path.read_text()[-3000:]}')
        code = 2
    else:
        record.say('the rule held' if broken is None else f'the rule was broken: {broken}')
        code = 0 if broken is None else BROKEN
    if os.environ.get('KEEP_LOGS'):
        for node in nodes:
            shutil.copy(node.log_path, f'{os.environ["KEEP_LOGS"]}/{node.name}.log')
    shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    # Without the clean-up of connections that are still open.
    os._exit(code)
