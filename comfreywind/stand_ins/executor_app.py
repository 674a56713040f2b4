"""One executor of the target stand-in: an HTTP server with a fixed number of slots."""

import json
from collections.abc import Awaitable, Callable
from functools import partial
from urllib.parse import parse_qs

import trio

from comfreywind.clock import Clock
from comfreywind.http.asgi_body import read_body, read_json
from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import HeaderList, Receive, Scope, Send
from comfreywind.http.disconnect import cancel_on_disconnect, wait_for_disconnect
from comfreywind.settings.target_stand_in import ExecutorSettings
from comfreywind.stand_ins.connection_silencer import ConnectionSilencer
from comfreywind.stand_ins.faults import TargetFaults
from comfreywind.stand_ins.run_log import RunLog

BODY_LIMIT_BYTES = 16_777_216
SILENT_AFTER_CLOSE_S = 15
NOT_RUN: HeaderList = [(b'comfreywind-outcome', b'not-run')]


class CutBodyError(Exception):
    """Ends a response in the middle of its body."""


class RebootError(Exception):
    """Ends a request because the executor reboots."""


class ExecutorApp:
    """Runs `/work` in a slot for the asked time and answers with the asked number of bytes."""

    def __init__(self, settings: ExecutorSettings, run_log: RunLog, clock: Clock) -> None:
        """Start with all slots free."""
        self._settings = settings
        self._run_log = run_log
        self._clock = clock
        self._busy_slots = 0
        self._faults = TargetFaults()
        self._rebooting_until_s = clock.read_monotonic_s()
        self._task_scopes: set[trio.CancelScope] = set()
        self._silencer = ConnectionSilencer()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope['path'] == '/stand-in/runs':
            await send_json(send, 200, self._run_log.to_document())
            return
        if scope['path'] == '/stand-in/faults':
            await self._put_faults(receive, send)
            return
        if scope['path'] == '/stand-in/reboot':
            await self._reboot(receive, send)
            return
        await self._serve_work(scope, receive, send)

    async def _put_faults(self, receive: Receive, send: Send) -> None:
        document = await read_json(receive, BODY_LIMIT_BYTES)
        self._faults = TargetFaults.model_validate(document)
        if self._faults.silence_open_connections:
            self._silencer.silence_open()
        await send_json(send, 200, self._faults.model_dump())

    async def _reboot(self, receive: Receive, send: Send) -> None:
        """Interrupt all tasks and run none for the asked time."""
        document = await read_json(receive, BODY_LIMIT_BYTES)
        self._rebooting_until_s = self._clock.read_monotonic_s() + float(document['duration_s'])
        interrupted_count = len(self._task_scopes)
        self._run_log.interrupted_count += interrupted_count
        for scope in self._task_scopes:
            scope.cancel()
        await send_json(send, 200, {'interrupted': interrupted_count})

    async def _serve_work(self, scope: Scope, receive: Receive, send: Send) -> None:
        if self._silencer.is_silent(scope) or self._faults.freeze:
            await _stay_silent(receive)
            return
        if self._clock.read_monotonic_s() < self._rebooting_until_s:
            self._run_log.received_while_rebooting_count += 1
            raise RebootError('the executor reboots')
        body = await read_body(receive, BODY_LIMIT_BYTES)
        headers = {name.decode(): header.decode() for name, header in scope['headers']}
        refusal = self._find_refusal(headers)
        if refusal:
            await send_json(send, 503, {'error': refusal}, NOT_RUN)
            return
        if self._faults.fail_all:
            await send_json(send, 500, {'error': 'this executor fails every task'})
            return
        await self._run_task(scope, headers, body, receive, send)

    def _find_refusal(self, headers: dict[str, str]) -> str | None:
        if self._busy_slots >= self._settings.slots:
            return 'no free slot'
        start_before = headers.get('comfreywind-start-before')
        if start_before and self._clock.read_utc().timestamp() > float(start_before):
            return 'the lease of the dispatch has lapsed'
        return None

    async def _run_task(
        self, scope: Scope, headers: dict[str, str], body: bytes, receive: Receive, send: Send
    ) -> None:
        request_id = headers.get('x-request-id', '')
        team = headers.get('comfreywind-team', '')
        query = parse_qs(scope['query_string'].decode())
        duration_s = float(query.get('duration_s', ['0'])[0]) + self._faults.latency_s
        run_until = headers.get('comfreywind-run-until')
        lease_s = float('inf')
        if run_until:
            lease_s = max(0, float(run_until) - self._clock.read_utc().timestamp())
        task = partial(_sleep_while_connected, duration_s, receive)
        connected = True
        with trio.move_on_after(lease_s) as lease, trio.CancelScope() as reboot:
            connected = await self._hold_slot(request_id, team, task, reboot)
        if reboot.cancelled_caught:
            raise RebootError('a reboot interrupted the task')
        if lease.cancelled_caught:
            await send_json(send, 500, {'error': 'the task was stopped when its lease ended'})
            return
        if not connected:
            return
        answer = {
            'executor': self._settings.name,
            'request_id': request_id,
            'team': team,
            'path': scope['path'],
            'received_bytes': len(body),
        }
        await self._send_answer(answer, query, send)

    async def _hold_slot(
        self,
        request_id: str,
        team: str,
        run_task: Callable[[], Awaitable[bool]],
        reboot: trio.CancelScope,
    ) -> bool:
        self._task_scopes.add(reboot)
        self._busy_slots += 1
        self._run_log.start(request_id, team)
        try:
            return await run_task()
        finally:
            self._leave_slot(team, reboot)

    def _leave_slot(self, team: str, reboot: trio.CancelScope) -> None:
        self._run_log.finish(team)
        self._busy_slots -= 1
        self._task_scopes.discard(reboot)

    async def _send_answer(
        self, answer: dict[str, object], query: dict[str, list[str]], send: Send
    ) -> None:
        padding_bytes = int(query.get('bytes', ['0'])[0])
        chunk_count = int(query.get('chunks', ['1'])[0])
        pause_s = float(query.get('pause_s', ['0'])[0])
        text = b'\n'.join((json.dumps(answer).encode(), b'x' * padding_bytes))
        headers: HeaderList = [(b'content-type', b'application/json')]
        if chunk_count <= 1:
            headers.append((b'content-length', str(len(text)).encode()))
        await send({'type': 'http.response.start', 'status': 200, 'headers': headers})
        cut_bytes = self._faults.cut_body_after_bytes
        if cut_bytes is not None:
            await send({'type': 'http.response.body', 'body': text[:cut_bytes], 'more_body': True})
            raise CutBodyError('the body was cut as asked')
        chunk_bytes = max(1, -(-len(text) // max(1, chunk_count)))
        for start in range(0, len(text), chunk_bytes):
            chunk = text[start : start + chunk_bytes]
            await send({'type': 'http.response.body', 'body': chunk, 'more_body': True})
            await trio.sleep(pause_s)
        await send({'type': 'http.response.body', 'body': b''})


async def _sleep_while_connected(duration_s: float, receive: Receive) -> bool:
    """Sleep and return True, or return False as soon as the connection is closed."""
    connected = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel_on_disconnect, receive, nursery.cancel_scope)
        await trio.sleep(duration_s)
        connected = True
        nursery.cancel_scope.cancel()
    return connected


async def _stay_silent(receive: Receive) -> None:
    """Answer nothing, and don't close for some time after the other side has closed."""
    await wait_for_disconnect(receive)
    await trio.sleep(SILENT_AFTER_CLOSE_S)
