"""A target that runs tasks: each works for the time of its spec, then ends."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

import trio

from comfreywind.http.asgi_body import read_json
from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import Receive, Scope, Send

BODY_LIMIT_BYTES = 65_536
ENDS_PER_REPORT = 500
MS_PER_S = 1000
DEFAULT_WORK_S = 0.2
# The longest lease that the users' platform allows.
LEASE_LIMIT_MS = 6000


@dataclass(slots=True)
class StandInRun:
    """A run under way and when it ends by itself."""

    run_id: int
    ends_s: float
    started_s: float


@dataclass(slots=True)
class StartLog:
    """All starts of a task, for checks of what ran.

    `ended_s` has the end of each run that has ended, by task, run id and time of its start.
    """

    starts: list[tuple[str, int, float]] = field(default_factory=list)
    ended_s: dict[tuple[str, int, float], float] = field(default_factory=dict)

    def list_doubles(self) -> list[str]:
        """Return the tasks of which two runs have been active at the same time."""
        by_task: dict[str, list[tuple[float, float]]] = {}
        for task, run_id, started_s in self.starts:
            ended_s = self.ended_s.get((task, run_id, started_s), float('inf'))
            by_task.setdefault(task, []).append((started_s, ended_s))
        return sorted(task for task, spans in by_task.items() if _overlap(spans))


class JobTargetApp:
    """Starts, stops and lists runs under leases and fences, as the users' targets do.

    A spec of `work_s=N` sets how long a task works, `fail` lets it fail, `last` never end. Orders
    that come before `silent_until_s` are carried out and answered then. A start takes `start_s`.
    While `late_s` is set, starts get no reply and are carried out that much later, by the incarnation
    that is `up` then, unless `late_starts` is unset, and so are extensions of the lease if `late_holds`
    is set. `late_starts_count` counts such starts.
    """

    def __init__(self, log: StartLog) -> None:
        """Start with nothing running; `log` may be shared by several targets."""
        self.log = log
        self.runs: dict[str, StandInRun] = {}
        self.ended: list[list[object]] = []
        self.fence = 0
        self.lease_end_ms = float('-inf')
        self.unanswered_starts = 0
        self.silent_until_s = float('-inf')
        self.start_s = float(0)
        self.late_s = float(0)
        self.late_starts = True
        self.late_holds = False
        self.late_starts_count = 0
        self.up = True
        self.note_fence: Callable[[int], None] = _ignore_fence
        self.note_start: Callable[[float], None] = _ignore_start
        self._highest_ended: dict[str, int] = {}
        self._specs: dict[str, str] = {}
        self._zero_s = float(0)
        self._born_ms = int(trio.current_time() * MS_PER_S)
        self._acknowledged = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        order = await read_json(receive, BODY_LIMIT_BYTES)
        order['arrived_s'] = trio.current_time()
        if self._is_late(scope['path']):
            self.late_starts_count += int(scope['path'] == '/v1/run-start')
            trio.lowlevel.spawn_system_task(self._carry_out_late, scope['path'], order)
            await trio.sleep_forever()
        await trio.sleep_until(self.silent_until_s)
        if scope['path'] == '/v1/run-start':
            await trio.sleep(self.start_s)
        await self._carry_out(scope['path'], order, send)

    def list_doubles(self) -> list[str]:
        """Return the tasks of which two runs have been active at once on targets that share the log."""
        self._end_runs()
        return self.log.list_doubles()

    def restart(self) -> None:
        """Begin a new incarnation under the same id, which knows nothing of the one before."""
        self._end_runs()
        now_s = trio.current_time()
        for task, run in self.runs.items():
            self.log.ended_s[task, run.run_id, run.started_s] = now_s
        self.runs.clear()
        self.ended.clear()
        self._highest_ended.clear()
        self.fence = 0
        self._acknowledged = 0
        self.lease_end_ms = float('-inf')
        self._zero_s = now_s
        self._born_ms = max(self._born_ms + 1, int(now_s * MS_PER_S))

    @property
    def born_ms(self) -> int:
        """Return when the present incarnation began."""
        return self._born_ms

    def _is_late(self, path: str) -> bool:
        held = self.late_holds and path == '/v1/hold'
        started = self.late_starts and path == '/v1/run-start'
        return bool(self.late_s) and (held or started)

    async def _carry_out_late(self, path: str, order: dict[str, Any]) -> None:
        await trio.sleep(self.late_s)
        if self.up:
            await self._carry_out(path, {**order, 'wait_ms': 0}, _send_nowhere)

    async def _carry_out(self, path: str, order: dict[str, Any], send: Send) -> None:
        self._end_runs()
        if order['fencing_token'] < self.fence:
            await self._reply(send, 409, {'reason': 'fence'})
            return
        if order['fencing_token'] > self.fence:
            self.fence = order['fencing_token']
            self.note_fence(self.fence)
        if path == '/v1/run-start':
            await self._start(order, send)
        elif path == '/v1/run-stop':
            self._end(order['task_id'], order['run_id'], 'stopped', trio.current_time())
            self._record_ended(order['task_id'], order['run_id'])
            await self._reply(send, 200, {})
        elif path == '/v1/hold':
            await self._hold(order, send)
        else:
            await self._reply(send, 200, {})

    async def _start(self, order: dict[str, Any], send: Send) -> None:
        task, run_id = order['task_id'], order['run_id']
        self._extend_lease(order)
        if self._is_superseded(task, run_id):
            await self._reply(send, 409, {'reason': 'old'})
            return
        if task not in self.runs:
            now_s = trio.current_time()
            self.log.starts.append((task, run_id, now_s))
            self.note_start(order['arrived_s'])
            self._specs[task] = order['spec']
            self.runs[task] = StandInRun(run_id, now_s + _read_work_s(order['spec']), now_s)
        if self.unanswered_starts:
            self.unanswered_starts -= 1
            await trio.sleep_forever()
        await self._reply(send, 200, {})

    async def _hold(self, order: dict[str, Any], send: Send) -> None:
        self._extend_lease(order)
        self._acknowledged = max(self._acknowledged, order['last_seen'])
        with trio.move_on_after(order.get('wait_ms', 0) / MS_PER_S):
            while not self._list_ended():
                await trio.sleep(0.01)
                self._end_runs()
        now_s = trio.current_time()
        active = [
            [task, run.run_id, '', _find_percent(run, now_s), 0] for task, run in self.runs.items()
        ]
        await self._reply(send, 200, {'active': active, 'finished': self._list_ended()})

    def _read_clock_ms(self) -> float:
        return (trio.current_time() - self._zero_s) * MS_PER_S

    def _extend_lease(self, order: dict[str, Any]) -> None:
        longest_ms = self._read_clock_ms() + LEASE_LIMIT_MS
        wanted_ms = min(order.get('expires_ms', 0), longest_ms)
        self.lease_end_ms = max(self.lease_end_ms, wanted_ms)

    def _is_superseded(self, task: str, run_id: int) -> bool:
        """Return whether another run is there, or one at least as high was stopped or has ended."""
        known = self.runs.get(task)
        if known is not None:
            return known.run_id != run_id
        return run_id <= self._highest_ended.get(task, 0)

    def _record_ended(self, task: str, run_id: int) -> None:
        self._highest_ended[task] = max(run_id, self._highest_ended.get(task, 0))

    def _list_ended(self) -> list[list[object]]:
        return self.ended[self._acknowledged : self._acknowledged + ENDS_PER_REPORT]

    def _end_runs(self) -> None:
        now_s = trio.current_time()
        lapse_s = self._zero_s + self.lease_end_ms / MS_PER_S
        for task, run in list(self.runs.items()):
            if min(lapse_s, run.ends_s) > now_s:
                continue
            if lapse_s < run.ends_s:
                self._end(task, run.run_id, 'lapsed', lapse_s)
            else:
                how = 'failed' if 'fail' in self._specs[task] else 'done'
                self._end(task, run.run_id, how, run.ends_s)

    def _end(self, task: str, run_id: int, how: str, ended_s: float) -> None:
        run = self.runs.get(task)
        if run is not None and run.run_id <= run_id:
            del self.runs[task]
            self._record_ended(task, run.run_id)
            self.log.ended_s[task, run.run_id, run.started_s] = ended_s
            self.ended.append([len(self.ended) + 1, task, run.run_id, how, ''])

    async def _reply(self, send: Send, status: int, document: dict[str, Any]) -> None:
        clock = {'clock_ms': int(self._read_clock_ms()), 'born': self._born_ms}
        await send_json(send, status, {**document, **clock})


def _overlap(spans: list[tuple[float, float]]) -> bool:
    """Return whether two of the spans of time overlap."""
    return any(later[0] < earlier[1] for earlier, later in pairwise(sorted(spans)))


def _find_percent(run: StandInRun, now_s: float) -> int:
    """Return how far a task is; one that lasts is always at work in full."""
    if run.ends_s == float('inf'):
        return 100
    return min(100, int(100 * (now_s - run.started_s) / (run.ends_s - run.started_s)))


async def _send_nowhere(_: object) -> None:
    """Drop a reply."""


def _ignore_fence(fence: int) -> None:
    """Do nothing; tests put an action in its place."""


def _ignore_start(arrived_s: float) -> None:
    """Do nothing; tests note there when the order of a start came."""


def _read_work_s(spec: str) -> float:
    if 'last' in spec:
        return float('inf')
    _, found, number = spec.partition('work_s=')
    return float(number) if found else DEFAULT_WORK_S
