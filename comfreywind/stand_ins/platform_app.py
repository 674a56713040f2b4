"""HTTP side of the platform stand-in: table service, object store and VM list."""

from collections import deque
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs

import httpcore
import trio

from comfreywind.clock import Clock
from comfreywind.http.asgi_body import BodyMalformedError, read_body, read_json
from comfreywind.http.asgi_reply import send_gzip_json, send_json, send_reply
from comfreywind.http.asgi_types import Receive, Scope, Send
from comfreywind.http.client import HttpClient
from comfreywind.http.routes import HttpCall, find_raw_route, make_route
from comfreywind.settings.address import Address
from comfreywind.stand_ins.connection_silencer import ConnectionSilencer
from comfreywind.stand_ins.faults import PlatformFaults
from comfreywind.stand_ins.table_store import RowWrite, TableStore

BODY_LIMIT_BYTES = 16_777_216
REBOOT_CALL_TIMEOUT_S = 2
VmDocument = dict[str, Any]


class PlatformApp:
    """The platform's services in memory, with faults."""

    def __init__(
        self, clock: Clock, vms: list[VmDocument], vm_list_lag_s: float, reboot_s: float
    ) -> None:
        """Start with empty tables and the given VM list."""
        self._clock = clock
        self._tables = TableStore()
        self._objects: dict[str, bytes] = {}
        self._vms = {vm['name']: vm for vm in vms}
        self._vm_list_lag_s = vm_list_lag_s
        self._reboot_s = reboot_s
        self._reboots_end_s: dict[str, float] = {}
        self._reboot_log: list[dict[str, Any]] = []
        self._vm_lists: deque[tuple[float, list[VmDocument]]] = deque()
        self._record_vm_list()
        self._faults = PlatformFaults()
        self._silencer = ConnectionSilencer()
        self._routes = [
            make_route('GET', '/v1/tables/{table}/rows/{key}', self._get_row),
            make_route('GET', '/v1/changes', self._get_changes),
            make_route('POST', '/v1/transactions', self._post_transaction),
            make_route('PUT', '/v1/objects/{name}', self._put_object),
            make_route('GET', '/v1/objects/{name}', self._get_object),
            make_route('GET', '/v1/vms', self._get_vms),
            make_route('POST', '/v1/vms/{name}/reboot', self._post_reboot),
            make_route('PUT', '/stand-in/faults', self._put_faults),
            make_route('PUT', '/stand-in/vms', self._put_vms),
            make_route('GET', '/stand-in/counters', self._get_counters),
            make_route('GET', '/stand-in/reboots', self._get_reboots),
            make_route('GET', '/stand-in/tables/{table}', self._get_table),
            make_route('GET', '/stand-in/vms', self._get_true_vms),
        ]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        found = find_raw_route(self._routes, scope['method'], scope['raw_path'])
        if found is None:
            await send_json(send, 404, {'error': 'unknown path'})
            return
        if not scope['path'].startswith('/stand-in/'):
            await self._apply_faults(scope, send)
            if self._faults.down:
                await send_json(send, 503, {'error': 'the platform is down'})
                return
        route, path_parts = found
        try:
            await route.endpoint(HttpCall(scope, receive, send, path_parts))
        except BodyMalformedError as error:
            await send_json(send, 400, {'error': str(error)})

    async def _apply_faults(self, scope: Scope, send: Send) -> None:
        if self._silencer.is_silent(scope):
            await trio.sleep_forever()
        if self._faults.latency_s:
            await trio.sleep(self._faults.latency_s)

    async def _get_row(self, call: HttpCall) -> None:
        self._tables.reads_count += 1
        row = self._tables.read_row(call.path_parts['table'], call.path_parts['key'])
        if row is None:
            await send_json(call.send, 404, {'error': 'no such row'})
            return
        await send_json(call.send, 200, row)

    async def _get_changes(self, call: HttpCall) -> None:
        self._tables.reads_count += 1
        query = parse_qs(call.scope['query_string'].decode())
        tables = set(query.get('tables', [''])[0].split(','))
        after_sequence = int(query.get('after_sequence', ['0'])[0])
        rows = self._tables.read_changes(after_sequence, tables)
        document = {'sequence': self._tables.sequence, 'rows': rows}
        await send_gzip_json(call.scope, call.send, document)

    async def _post_transaction(self, call: HttpCall) -> None:
        document = await read_json(call.receive, BODY_LIMIT_BYTES)
        try:
            writes = [RowWrite(**write) for write in document['writes']]
        except (KeyError, TypeError) as error:
            raise BodyMalformedError(f'not a transaction: {error}') from error
        conflicts = self._tables.commit(writes)
        await self._maybe_lose_reply()
        if conflicts:
            await send_json(call.send, 409, {'conflicts': conflicts})
            return
        versions = [self._tables.read_stored_version(write.table, write.key) for write in writes]
        await send_json(call.send, 200, {'sequence': self._tables.sequence, 'versions': versions})

    async def _put_object(self, call: HttpCall) -> None:
        name = call.path_parts['name']
        body = await read_body(call.receive, BODY_LIMIT_BYTES)
        headers = dict(call.scope['headers'])
        if headers.get(b'if-none-match') == b'*' and name in self._objects:
            await send_json(call.send, 412, {'error': 'the object exists'})
            return
        self._objects[name] = body
        await self._maybe_lose_reply()
        await send_json(call.send, 201, {'name': name})

    async def _get_object(self, call: HttpCall) -> None:
        self._tables.reads_count += 1
        body = self._objects.get(call.path_parts['name'])
        if body is None:
            await send_json(call.send, 404, {'error': 'no such object'})
            return
        await send_reply(call.send, 200, [], body)

    async def _get_vms(self, call: HttpCall) -> None:
        self._finish_reboots()
        as_of_s, vms = self._find_lagging_list()
        entity_tag = f'"{as_of_s}"'.encode()
        headers = dict(call.scope['headers'])
        if headers.get(b'if-none-match') == entity_tag:
            await send_reply(call.send, 304, [(b'etag', entity_tag)], b'')
            return
        document = {'as_of': as_of_s, 'vms': vms}
        await send_gzip_json(call.scope, call.send, document, [(b'etag', entity_tag)])

    async def _post_reboot(self, call: HttpCall) -> None:
        self._finish_reboots()
        vm = self._vms.get(call.path_parts['name'])
        if vm is None:
            await send_json(call.send, 404, {'error': 'no such VM'})
            return
        condition = dict(call.scope['headers']).get(b'if-match', b'').decode()
        if condition not in {'', f'"{vm["incarnation"]}"'}:
            await send_json(call.send, 412, {'error': f'the incarnation is {vm["incarnation"]}'})
            return
        if vm['name'] not in self._reboots_end_s:
            await self._begin_reboot(vm)
        await self._maybe_lose_reply()
        await send_json(call.send, 202, {'name': vm['name']})

    async def _begin_reboot(self, vm: VmDocument) -> None:
        """Stop the VM's executor, which interrupts what runs there; it is back after a while."""
        now_s = self._clock.read_monotonic_s()
        vm['state'] = 'leaving'
        self._reboots_end_s[vm['name']] = now_s + self._reboot_s
        self._record_vm_list()
        client = HttpClient(Address(vm['address'], vm['port']), REBOOT_CALL_TIMEOUT_S)
        interrupted_count: int | None = None
        with suppress(httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            reply = await client.call('POST', '/stand-in/reboot', {'duration_s': self._reboot_s})
            interrupted_count = reply.read_json()['interrupted']
        await client.close()
        self._reboot_log.append(
            {'name': vm['name'], 'at_s': now_s, 'interrupted': interrupted_count}
        )

    def _finish_reboots(self) -> None:
        now_s = self._clock.read_monotonic_s()
        for name, end_s in list(self._reboots_end_s.items()):
            if now_s >= end_s:
                self._reboots_end_s.pop(name)
                self._vms[name].update(state='live', incarnation=self._vms[name]['incarnation'] + 1)
                self._record_vm_list()

    async def _get_reboots(self, call: HttpCall) -> None:
        self._finish_reboots()
        await send_json(call.send, 200, {'reboots': self._reboot_log})

    async def _put_faults(self, call: HttpCall) -> None:
        document = await read_json(call.receive, BODY_LIMIT_BYTES)
        self._faults = PlatformFaults.model_validate(document)
        if self._faults.silence_open_connections:
            self._silencer.silence_open()
        if self._faults.vm_list_lag_s is not None:
            self._vm_list_lag_s = self._faults.vm_list_lag_s
        await send_json(call.send, 200, self._faults.model_dump())

    async def _put_vms(self, call: HttpCall) -> None:
        document = await read_json(call.receive, BODY_LIMIT_BYTES)
        self._finish_reboots()
        self._vms = {vm['name']: vm for vm in document['vms']}
        self._reboots_end_s = {
            name: end_s for name, end_s in self._reboots_end_s.items() if name in self._vms
        }
        self._record_vm_list()
        await send_json(call.send, 200, {'vms': len(self._vms)})

    async def _get_counters(self, call: HttpCall) -> None:
        counters = {
            'reads': self._tables.reads_count,
            'transactions': self._tables.transactions_count,
        }
        await send_json(call.send, 200, counters)

    async def _get_table(self, call: HttpCall) -> None:
        """Send all rows of a table, so that tests can sample states even while it is down."""
        table = call.path_parts['table']
        rows = {row['key']: row['value'] for row in self._tables.read_changes(0, {table})}
        await send_json(call.send, 200, {'rows': rows})

    async def _get_true_vms(self, call: HttpCall) -> None:
        self._finish_reboots()
        await send_json(call.send, 200, {'vms': list(self._vms.values())})

    async def _maybe_lose_reply(self) -> None:
        if self._faults.lose_replies:
            self._faults.lose_replies -= 1
            await trio.sleep_forever()

    def _record_vm_list(self) -> None:
        vms = [dict(vm) for vm in self._vms.values()]
        self._vm_lists.append((self._clock.read_monotonic_s(), vms))

    def _find_lagging_list(self) -> tuple[float, list[VmDocument]]:
        visible_s = self._clock.read_monotonic_s() - self._vm_list_lag_s
        while len(self._vm_lists) > 1 and self._vm_lists[1][0] <= visible_s:
            self._vm_lists.popleft()
        return self._vm_lists[0]
