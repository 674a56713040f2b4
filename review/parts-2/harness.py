"""Starts a small deployment of the project on loopback for a case, and records what is seen."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import httpd
from platform_store import PlatformStore

PARTS = Path(__file__).resolve().parent
ROOT = PARTS.parent.parent
HOST, PREFIX, KEY = 'jobs.example', '/rebuild/', 'key-of-crews'
# `run.sh` turns BROKEN into 1 and all but HELD into 2, as an error of Python also exits with 1.
HELD, BROKEN, NOT_RUN = 0, 10, 2
SETTINGS = """
node_name = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "dc"
region = "r"
internal_ports = [{peer},{peer}]
seed_nodes = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","upkeep","sharing"]
commands = "invoke"
[zones]
dc = "r"
[listen_addrs]
frontend = "127.0.0.1:{frontend}"
ready = "127.0.0.1:{ready}"
control_plane = "127.0.0.1:{control}"
[limits]
cpu_quota = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 6000
stop_grace_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 2
checkpoint_interval_s = 0.5
restore_ms = 100
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
fencing_enforced = false
lease_ms = 3000
[platform]
address = "127.0.0.1:{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 6.0
part_writes_s = 200
row_bytes = {row_bytes}
cross_part = false
history_s = 20
[cloud_api]
address = "127.0.0.1:{store}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""


def find_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Fleet:
    """The processes of a case; `events` has what executors did, in order."""

    def __init__(self, record_path, row_bytes=65536):
        self.zero_s = time.monotonic()
        self.record = Path(record_path).open('w', encoding='utf-8')
        self.temporary = tempfile.TemporaryDirectory(prefix='comfreywind-review-')
        self.row_bytes = row_bytes
        self.events, self.nodes, self.executors, self.tasks = [], {}, {}, []
        self.quiet = {'order'}
        self.store = PlatformStore(self.note, row_bytes=row_bytes)
        self.store_port = find_port()

    def now_s(self):
        return time.monotonic() - self.zero_s

    def note(self, text, at_s=None):
        at_s = self.now_s() if at_s is None else at_s
        self.record.write(f'{at_s:8.3f} {text}\n')
        self.record.flush()

    async def start(self, nodes=2):
        self.server, expiry = await self.store.start(self.store_port)
        self.tasks.append(expiry)
        self.put_config()
        for number in range(nodes):
            await self.start_node(f'edge-{number}')

    def put_config(self, version=1, keys=(KEY,), cap=None, attempts=3):
        route = {
            'name': 'rebuild', 'host': HOST, 'prefix': PREFIX, 'service': 'crossings',
            'timeout_ms': 3000, 'priority': 0, 'max_attempts': attempts, 'stretch_factor': 1.6,
            'target_latency_ms': 600,
        }
        tenant = {'name': 'crews', 'api_keys': list(keys), 'weight': 10, 'cap': cap or {'cpu': 0, 'mem_mb': 0, 'gpu': 0}}
        self.store.put('op', 'config', {
            'version': version, 'routes': [route], 'tenants': [tenant], 'limits': {},
            'services': [{'name': 'crossings', 'admission_control': True, 'standby': False}],
        })

    # Processes

    async def start_node(self, name):
        ports = {each: find_port() for each in ('peer', 'frontend', 'ready', 'control', 'metrics')}
        path = Path(self.temporary.name) / f'{name}.toml'
        path.write_text(SETTINGS.format(name=name, store=self.store_port, row_bytes=self.row_bytes, **ports))
        role = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())['roles']['node']
        words = role['run'].replace('{{ip}}:9464', f'127.0.0.1:{ports["metrics"]}').split()
        variables = {each: os.environ[each] for each in ('PATH', 'HOME', 'LANG') if each in os.environ}
        variables |= {'COMFREYWIND_CONFIG': str(path), 'PYTHONPATH': str(ROOT / 'target' / 'deps')}
        log = (Path(self.temporary.name) / f'{name}.log').open('ab')
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=variables, stdout=log, stderr=log
        )
        self.nodes[name] = (process, ports)
        self.note(f'node {name} is started')

    async def start_executor(self, name, **options):
        known = self.executors.get(name)
        port = known[1] if known else find_port()
        words = [sys.executable, str(PARTS / 'executor.py'), '--id', name, '--port', str(port), '--store', str(self.store_port)]
        for option, value in options.items():
            words += [f'--{option.replace("_", "-")}', str(value)]
        process = await asyncio.create_subprocess_exec(*words, stdout=asyncio.subprocess.PIPE, limit=2**20)
        self.executors[name] = (process, port, options)
        reading = asyncio.create_task(self.read_events(name, process))
        self.tasks.append(reading)

    async def read_events(self, name, process):
        async for line in process.stdout:
            event = json.loads(line)
            event['at'] -= self.zero_s
            self.events.append(event)
            if event['what'] not in self.quiet:
                facts = ' '.join(f'{k}={v}' for k, v in event.items() if k not in ('at', 'executor', 'what'))
                self.note(f'executor {event["executor"]}: {event["what"]} {facts}', event['at'])

    async def kill_executor(self, name):
        process, port, _ = self.executors[name]
        process.send_signal(signal.SIGKILL)
        await process.wait()
        self.events.append({'at': self.now_s(), 'executor': name, 'what': 'killed'})
        self.note(f'executor {name}: killed')

    async def restart_executor(self, name, **options):
        _, _, earlier = self.executors[name]
        await self.start_executor(name, **{**earlier, **options})

    def signal_node(self, name, number):
        self.nodes[name][0].send_signal(number)
        self.note(f'node {name}: {signal.Signals(number).name}')

    async def wait_ready(self, executors, limit_s=30):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            ready = True
            for _, ports in self.nodes.values():
                try:
                    status, _ = await httpd.call('127.0.0.1', ports['ready'], 'GET', '/v1/readyz')
                    ready = ready and status == 200
                except (OSError, asyncio.TimeoutError):
                    ready = False
            if ready and len(self.store.heard_s) >= executors:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError('the deployment did not become ready')

    def close(self):
        for process, *_ in (*self.nodes.values(), *self.executors.values()):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for task in self.tasks:
            task.cancel()
        if 'KEEP_LOGS' in os.environ:
            for path in Path(self.temporary.name).glob('*.log'):
                (Path(os.environ['KEEP_LOGS']) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()

    # Clients

    async def call(self, method, job_id, document=None, node='edge-0', key=KEY, quiet=False):
        """Return (status, document); status 0 when there was no answer."""
        ports = self.nodes[node][1]
        headers = {'Host': HOST, 'Authorization': f'Bearer {key}', 'Comfreywind-Deadline-Ms': '3000'}
        try:
            status, reply = await httpd.call('127.0.0.1', ports['frontend'], method, PREFIX + job_id, document, headers, 3.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, reply = 0, {'error': repr(error)}
        if not quiet:
            self.note(f'client: {method} {job_id} at {node} -> {status} {json.dumps(reply)[:120]}')
        return status, reply

    async def submit(self, job_id, spec, steps, node='edge-0', **fields):
        """Hand a job in as a client does: again after no answer, 429, 502, 503 or 504."""
        names = list(self.nodes)
        for attempt in range(8):
            chosen = names[(names.index(node) + attempt) % len(names)]
            status, _ = await self.call('POST', job_id, {'spec': spec, 'steps': steps, **fields}, chosen)
            if 200 <= status < 300:
                return status
            await asyncio.sleep(0.3)
        return status

    async def state(self, job_id, node='edge-0', quiet=True):
        status, reply = await self.call('GET', job_id, node=node, quiet=quiet)
        return reply.get('state', str(status))

    async def wait_state(self, job_id, states, limit_s, node='edge-0'):
        end_s = time.monotonic() + limit_s
        while True:
            state = await self.state(job_id, node)
            if state in states or time.monotonic() > end_s:
                self.note(f'client: state of {job_id} is {state}')
                return state
            await asyncio.sleep(0.2)

    async def wait_event(self, condition, limit_s):
        """Return the first event that fits, or None after the limit."""
        end_s = time.monotonic() + limit_s
        checked = 0
        while time.monotonic() < end_s:
            while checked < len(self.events):
                event = self.events[checked]
                checked += 1
                if condition(event):
                    return event
            await asyncio.sleep(0.002)
        return None


def run_case(case, record_path, trouble, limit_s=115):
    """Run `case(fleet, trouble)`, which returns a list of broken promises; exit with the result."""

    async def run():
        fleet = Fleet(record_path)
        try:
            fleet.note(f'the case begins, {"with" if trouble else "without"} the disruption')
            async with asyncio.timeout(limit_s):
                broken = await case(fleet, trouble)
            for text in broken:
                fleet.note(f'BROKEN: {text}')
                print(f'BROKEN: {text}')
            if not broken:
                fleet.note('the rule held')
                print('the rule held')
            return BROKEN if broken else HELD
        except Exception as error:
            fleet.note(f'the case could not run: {error!r}')
            print(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            fleet.close()

    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)
