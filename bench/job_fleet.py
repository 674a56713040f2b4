"""Nodes, targets and a store stand-in in one process, on loopback."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial

import trio

from bench.ports import PORTS
from comfreywind.clock import SystemClock
from comfreywind.http.client import HttpClient, HttpReply
from comfreywind.http.server import serve_app
from comfreywind.node.run import Node
from comfreywind.settings.address import Address
from comfreywind.settings.node import JobTimings, NodeSettings, StoreLimits
from comfreywind.stand_ins.jobs.store_app import StoreApp
from comfreywind.stand_ins.jobs.target_app import JobTargetApp, StartLog

HOST = '127.0.0.1'
QUEUE_HOST = 'jobs.example'
PREFIX = '/rebuild/'
POOL = 'crossings'
KEY = 'key-of-crews'
TARGET_CPU = 4000
# Callers, readiness, metrics and other nodes.
PORTS_PER_NODE = 4
WAIT_LIMIT_S = 20.0
LOOPBACK_MBPS = 1000.0
UNKNOWN_JOB_ID = 'f' * 16
STATUS_GONE = 410


def make_config(version: int = 1, keys: tuple[str, ...] = (KEY,)) -> dict[str, object]:
    """Return an operator's configuration with one queue and one team."""
    route = {
        'name': 'rebuild',
        'host': QUEUE_HOST,
        'prefix': PREFIX,
        'service': POOL,
        'max_attempts': 3,
        'stretch_factor': 1.6,
        'target_latency_ms': 600,
    }
    tenant = {'name': 'crews', 'api_keys': list(keys), 'weight': 10, 'cap': {}}
    return {
        'version': version,
        'routes': [route],
        'services': [{'name': POOL, 'admission_control': True, 'standby': False}],
        'tenants': [tenant],
    }


@dataclass(slots=True)
class JobFleet:
    """Handles of a running fleet; a scope ends its node at once, as a kill does."""

    store: StoreApp
    targets: list[JobTargetApp]
    node_addresses: list[Address]
    metrics_addresses: list[Address]
    store_address: Address
    target_addresses: list[Address]
    scopes: list[trio.CancelScope] = field(default_factory=list)
    log: StartLog = field(default_factory=StartLog)

    async def call(
        self, node: int, method: str, path: str, document: object | None = None, key: str = KEY
    ) -> HttpReply:
        """Call a node as a caller of the queue."""
        client = HttpClient(self.node_addresses[node], 5)
        headers = [(b'host', QUEUE_HOST.encode()), (b'authorization', f'Bearer {key}'.encode())]
        try:
            return await client.call(method, f'{PREFIX}{path}', document, headers)
        finally:
            await client.close()

    @asynccontextmanager
    async def run_node(
        self,
        name: str,
        metrics_address: Address | None = None,
        store_address: Address | None = None,
        link_mbps: float = LOOPBACK_MBPS,
    ) -> AsyncIterator[int]:
        """Run one more node until the block is left; give its number for calls.

        It calls the store at the given address, which may be that of a relay with a slower link.
        """
        ports = [Address(HOST, PORTS.find_free()) for _ in range(PORTS_PER_NODE)]
        ports[2] = metrics_address or ports[2]
        settings = make_settings(name, ports, store_address or self.store_address)
        node = Node(replace(settings, link_mbps=link_mbps), SystemClock())
        scope = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_until_killed, node, scope)
            self.node_addresses.append(ports[0])
            self.metrics_addresses.append(ports[2])
            number = len(self.node_addresses) - 1
            await wait_until_ready(self, number)
            yield number
            scope.cancel()

    async def submit(self, node: int, job_id: str, spec: str = '', count: int = 2) -> int:
        """Hand in a job of one step and return the status of the answer."""
        step = {'count': count, 'cpu': 500, 'mem_mb': 100, 'estimate_ms': 200}
        reply = await self.call(node, 'POST', job_id, {'spec': spec, 'steps': [step]})
        return reply.status

    async def read_state(self, node: int, job_id: str) -> str:
        """Return the state of a job, or the status of an answer without one."""
        reply = await self.call(node, 'GET', job_id)
        return str(json.loads(reply.body).get('state', reply.status))

    async def wait_for_state(self, node: int, job_id: str, state: str) -> None:
        """Return once a node tells the state; raise trio.TooSlowError when it never does."""
        with trio.fail_after(WAIT_LIMIT_S):
            while await self.read_state(node, job_id) != state:
                await trio.sleep(0.05)


@asynccontextmanager
async def run_job_fleet(
    node_count: int = 2, target_count: int = 2, timings: JobTimings | None = None
) -> AsyncIterator[JobFleet]:
    """Run a fleet until the block is left."""
    address_count = 1 + target_count + PORTS_PER_NODE * node_count
    addresses = [Address(HOST, PORTS.find_free()) for _ in range(address_count)]
    store, shutdown, log = StoreApp(), trio.Event(), StartLog()
    target_addresses = addresses[1 : 1 + target_count]
    node_addresses = addresses[1 + target_count :]
    ports_by_node = [
        node_addresses[start : start + PORTS_PER_NODE]
        for start in range(0, PORTS_PER_NODE * node_count, PORTS_PER_NODE)
    ]
    async with trio.open_nursery() as nursery:
        targets = [JobTargetApp(log) for _ in target_addresses]
        fleet = JobFleet(
            store,
            targets,
            [ports[0] for ports in ports_by_node],
            [ports[2] for ports in ports_by_node],
            addresses[0],
            target_addresses,
            log=log,
        )
        store.write_document('op', 'config', make_config())
        nursery.start_soon(partial(serve_app, store, addresses[0], shutdown))
        for number, (target, address) in enumerate(zip(targets, target_addresses, strict=True)):
            store.write_document('servers', f'i-{number}', describe_target(address))
            nursery.start_soon(partial(serve_app, target, address, shutdown))
        for number, ports in enumerate(ports_by_node):
            settings = make_settings(f'node-{number}', ports, addresses[0], timings)
            scope = trio.CancelScope()
            fleet.scopes.append(scope)
            nursery.start_soon(run_until_killed, Node(settings, SystemClock()), scope)
        for node in range(node_count):
            await wait_until_ready(fleet, node)
        yield fleet
        nursery.cancel_scope.cancel()


async def run_until_killed(node: Node, scope: trio.CancelScope) -> None:
    """Run a node until its scope is cancelled."""
    with scope:
        await node.run_components(trio.Event())


async def wait_until_ready(fleet: JobFleet, node: int) -> None:
    """Return once the node knows the rules."""
    with trio.fail_after(WAIT_LIMIT_S):
        while not await _answers(fleet, node):
            await trio.sleep(0.05)


async def _answers(fleet: JobFleet, node: int) -> bool:
    try:
        return (await fleet.call(node, 'GET', UNKNOWN_JOB_ID)).status == STATUS_GONE
    except OSError:
        return False
    except Exception as error:
        if type(error).__module__.startswith('httpcore'):
            return False
        raise


def describe_target(address: Address, state: str = 'ready') -> dict[str, object]:
    """Return what a target registers."""
    return {
        'service': POOL,
        'address': str(address),
        'zone': 'dc',
        'state': state,
        'capacity': {'cpu': TARGET_CPU, 'mem_mb': 8000, 'gpu': 0},
        'labels': ['a', 'r1-1'],
        'sequence': 1,
    }


def make_settings(
    name: str, ports: list[Address], store: Address, timings: JobTimings | None = None
) -> NodeSettings:
    """Return settings of a node on loopback; `ports` serve callers, readiness, metrics and peers."""
    return NodeSettings(
        name=name,
        data_centre='dc',
        caller_address=ports[0],
        ready_address=ports[1],
        metrics_address=ports[2],
        peer_address=ports[3],
        store_address=store,
        vm_service_address=None,
        advice_address=None,
        timings=timings or JobTimings(),
        store_limits=StoreLimits(),
    )
