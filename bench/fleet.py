"""A fleet of real processes on loopback: entries and stand-ins."""

import hashlib
import json
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

import httpcore

from bench.fleet_plan import FleetPlan
from bench.fleet_process import FleetProcess
from bench.ports import PORTS
from bench.relay import Relay
from comfreywind.cli.operator_client import call_operator
from comfreywind.errors import PlatformError

OPERATOR_TOKEN = 'token-of-the-loopback-fleet'
LOOPBACK = '127.0.0.1'
START_TIMEOUT_S = 20


class Fleet:
    """Starts, disturbs and stops the processes of a plan; use it as a context manager."""

    def __init__(self, plan: FleetPlan) -> None:
        """Choose ports and write the settings files."""
        self.plan = plan
        self._folder = tempfile.TemporaryDirectory(prefix='comfreywind-')
        self.folder = Path(self._folder.name)
        self.platform_address = _make_address()
        self.caller_addresses = [_make_address() for _ in range(plan.entries_count)]
        self.operator_addresses = [_make_address() for _ in range(plan.entries_count)]
        self.peer_addresses = [_make_address() for _ in range(plan.entries_count)]
        self.relays = {
            index: Relay(_make_address(), self.platform_address) for index in plan.relayed_entries
        }
        self.vms = self._plan_vms()
        self.platform = self._make_platform()
        self.targets = self._make_targets()
        self.entries = [self._make_entry(index) for index in range(plan.entries_count)]
        self.keys: dict[str, str] = {}

    def __enter__(self) -> 'Fleet':
        """Start all processes, put the bundle into force and grant each team a key."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.stop()

    @property
    def processes(self) -> list[FleetProcess]:
        """Return all processes, in the order in which they are stopped."""
        return [*self.entries, *self.targets, self.platform]

    def start(self) -> None:
        """Start everything and wait until every entry is ready."""
        self.platform.start()
        for target in self.targets:
            target.start()
        wait_until(lambda: answers(self.platform_address, '/v1/vms'), 'platform stand-in')
        for entry in self.entries:
            entry.start()
        wait_until(self._all_operators_answer, 'operator sides')
        self.roll_out(1, self.plan.bundle)
        for team in self.plan.bundle['teams']:
            self.keys[team] = self.grant_key(team)
        wait_until(self._all_ready, 'entries')
        wait_until(self._all_know_keys, 'keys on all entries')
        wait_until(self._all_use_vms, 'rows of all VMs on all entries')

    def stop(self) -> None:
        """Stop everything and remove the settings files."""
        for process in self.processes:
            if process.is_running():
                process.stop()
        for relay in self.relays.values():
            relay.cut()
        self._folder.cleanup()

    def call_operator(
        self, method: str, path: str, document: object | None = None, entry: int = 0
    ) -> Any:
        """Call the operator side of an entry and return the JSON reply."""
        return call_operator(self.operator_addresses[entry], OPERATOR_TOKEN, method, path, document)

    def roll_out(self, version: int, bundle: object, entry: int = 0) -> Any:
        """Create, sign off and roll out a bundle version; return the reply of the roll-out."""
        self.prepare_version(version, bundle, entry)
        return self.call_operator('POST', f'/v1/bundles/{version}/roll-out', entry=entry)

    def prepare_version(self, version: int, bundle: object, entry: int = 0) -> None:
        """Create and sign off a bundle version."""
        self.call_operator('POST', '/v1/bundles', {'version': version, 'bundle': bundle}, entry)
        self.call_operator('POST', f'/v1/bundles/{version}/sign-off', entry=entry)

    def grant_key(self, team: str) -> str:
        """Grant a key to the team and return its text."""
        return str(self.call_operator('POST', '/v1/keys', {'team': team})['key'])

    def set_platform_faults(self, **faults: object) -> None:
        """Replace the faults of the platform stand-in."""
        put_json(self.platform_address, '/stand-in/faults', faults)

    def set_target_faults(self, vm_index: int, **faults: object) -> None:
        """Replace the faults of one executor."""
        vm = self.vms[vm_index]
        put_json(str(vm['address']), '/stand-in/faults', faults)

    def read_run_log(self, vm_index: int = 0) -> dict[str, dict[str, int]]:
        """Return the run log of the process that serves the executor."""
        reply = httpcore.request('GET', f'http://{self.vms[vm_index]["address"]}/stand-in/runs')
        log: dict[str, dict[str, int]] = json.loads(reply.content)
        return log

    def read_table(self, table: str) -> dict[str, Any]:
        """Return all rows of a table by key, also while the platform's services are down."""
        rows: dict[str, Any] = self._read_platform(f'/stand-in/tables/{table}')['rows']
        return rows

    def read_true_vms(self) -> list[dict[str, Any]]:
        """Return the VM list as it truly is now."""
        vms: list[dict[str, Any]] = self._read_platform('/stand-in/vms')['vms']
        return vms

    def read_reboots(self) -> list[dict[str, Any]]:
        """Return the reboots so far and how many tasks each interrupted."""
        reboots: list[dict[str, Any]] = self._read_platform('/stand-in/reboots')['reboots']
        return reboots

    def find_holder(self, pool: str) -> int | None:
        """Return the index of the entry that holds the control lease of the pool."""
        holder = self.read_table('control').get(pool, {}).get('holder')
        names = [entry.name for entry in self.entries]
        return names.index(holder) if holder in names else None

    def set_vms(self, vms: list[dict[str, Any]]) -> None:
        """Replace the platform's true VM list."""
        put_json(self.platform_address, '/stand-in/vms', {'vms': [_to_document(vm) for vm in vms]})

    def _read_platform(self, path: str) -> Any:
        reply = httpcore.request('GET', f'http://{self.platform_address}{path}')
        return json.loads(reply.content)

    def _plan_vms(self) -> list[dict[str, Any]]:
        vms = []
        for pool, count in self.plan.executors_by_pool.items():
            for index in range(count):
                data_centre = self.plan.data_centres[index % len(self.plan.data_centres)]
                rack = f'{pool}-rack-{index // self.plan.vms_per_rack}'
                vms.append(
                    {
                        'name': f'{pool}-{index}',
                        'address': _make_address(),
                        'data_centre': data_centre,
                        'rack': rack,
                        'pool': pool,
                    }
                )
        return vms

    def _make_platform(self) -> FleetProcess:
        settings = {
            'address': self.platform_address,
            'vms': self.vms,
            'vm_list_lag_s': self.plan.vm_list_lag_s,
            'reboot_s': self.plan.reboot_s,
        }
        return FleetProcess(self.folder, 'platform', ['stand-in', 'platform'], settings)

    def _make_targets(self) -> list[FleetProcess]:
        groups = [
            (f'target-{index}', self.vms[index :: self.plan.target_processes])
            for index in range(self.plan.target_processes)
        ]
        if self.plan.target_process_by_rack:
            racks = sorted({vm['rack'] for vm in self.vms})
            groups = [(rack, [vm for vm in self.vms if vm['rack'] == rack]) for rack in racks]
        return [self._make_target(name, vms) for name, vms in groups]

    def _make_target(self, name: str, vms: list[dict[str, Any]]) -> FleetProcess:
        executors = [
            {
                'name': vm['name'],
                'address': vm['address'],
                'slots': self.plan.slots,
                'connections': self.plan.connections,
            }
            for vm in vms
        ]
        return FleetProcess(self.folder, name, ['stand-in', 'target'], {'executors': executors})

    def _make_entry(self, index: int) -> FleetProcess:
        own_address = self.peer_addresses[index]
        relay = self.relays.get(index)
        settings = {
            'name': f'entry-{index}',
            'data_centre': self.plan.data_centres[index % len(self.plan.data_centres)],
            'caller_address': self.caller_addresses[index],
            'operator_address': self.operator_addresses[index],
            'peer_address': own_address,
            'platform_address': relay.address if relay else self.platform_address,
            'peers': [address for address in self.peer_addresses if address != own_address],
            'operator_token_sha256': hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
            'timings': self.plan.timings,
            **self.plan.entry_settings,
        }
        return FleetProcess(self.folder, f'entry-{index}', ['entry'], settings)

    def _all_operators_answer(self) -> bool:
        return all(answers(address, '/v1/status', 401) for address in self.operator_addresses)

    def _all_ready(self) -> bool:
        return all(answers(address, '/health/ready') for address in self.caller_addresses)

    def _all_know_keys(self) -> bool:
        sequences = [
            self.call_operator('GET', '/v1/status', entry=index)['keys_count']
            for index in range(self.plan.entries_count)
        ]
        return all(count >= len(self.keys) for count in sequences)

    def _all_use_vms(self) -> bool:
        expected = Counter(vm['pool'] for vm in self.vms)
        return all(
            pool['usable_vms'] >= expected[pool['name']]
            for index in range(self.plan.entries_count)
            for pool in self.call_operator('GET', '/v1/pools', entry=index)['pools']
        )


def wait_until(
    condition: Callable[[], bool], name: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Return when the condition holds; raise TimeoutError when it does not in time."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f'{name}: not so after {timeout_s} s')


def put_json(address: str, path: str, document: object) -> None:
    """Send a JSON document with PUT; raise PlatformError for a refusal."""
    body = json.dumps(document).encode()
    reply = httpcore.request('PUT', f'http://{address}{path}', content=body)
    if reply.status != 200:
        raise PlatformError(f'PUT {path}: status {reply.status}')


def answers(address: str, path: str, status: int = 200) -> bool:
    """Return whether a GET request to the path gets the status."""
    try:
        return httpcore.request('GET', f'http://{address}{path}').status == status
    except httpcore.NetworkError:
        return False


def _make_address() -> str:
    return f'{LOOPBACK}:{PORTS.find_free()}'


def _to_document(vm: dict[str, Any]) -> dict[str, Any]:
    host, _, port = str(vm['address']).rpartition(':')
    defaults = {'state': 'live', 'incarnation': 1}
    return {**defaults, **vm, 'address': host, 'port': int(port)}
