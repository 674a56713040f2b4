"""One process of the load tool: `python -m bench.load_worker` reads its order from stdin."""

import json
import random
import sys
import time
from typing import Any

import httpcore
import trio

from bench.load_connections import LoadConnections
from bench.load_plan import LoadPlan, LoadStream
from bench.load_result import ANSWERED, LoadResult, StreamResult
from bench.load_schedule import make_send_times

# Answers are awaited a little longer than the deadline, so that late ones are seen as such.
LATE_ANSWER_S = 5


class LoadWorker:
    """Sends the requests of a plan at their intended times, whatever becomes of earlier ones."""

    def __init__(self, plan: LoadPlan, worker: int) -> None:
        """Take one part of each stream; `worker` counts from 0."""
        self._plan = plan
        self._worker = worker
        self._connections = {stream.entry: LoadConnections(stream.entry) for stream in plan.streams}
        self._in_flight = 0
        self.outcome = LoadResult([StreamResult() for _ in plan.streams])

    async def run(self, start_s: float) -> None:
        """Send everything from the monotonic time `start_s` on and wait for the answers."""
        longest_wait_s = max(stream.wait_s for stream in self._plan.streams)
        time_limit_s = self._plan.duration_s + longest_wait_s + LATE_ANSWER_S
        offset_s = start_s - time.monotonic() + trio.current_time()
        with trio.move_on_after(offset_s - trio.current_time() + time_limit_s):
            async with trio.open_nursery() as nursery:
                for index, _ in enumerate(self._plan.streams):
                    nursery.start_soon(self._run_stream, index, offset_s, nursery)
        for connections in self._connections.values():
            await connections.close()

    async def _run_stream(self, index: int, offset_s: float, nursery: trio.Nursery) -> None:
        plan = self._plan
        stream = plan.streams[index]
        part = stream.model_copy(update={'rate_hz': stream.rate_hz / plan.processes})
        generator = random.Random(f'{plan.seed}/{self._worker}/{index}')
        for send_s in make_send_times(part, plan.duration_s, generator):
            await trio.sleep_until(offset_s + send_s)
            measured = send_s >= plan.warm_up_s
            self._note_planned(measured, trio.current_time() - offset_s - send_s)
            if self._in_flight >= plan.in_flight_limit:
                continue
            self.outcome.sent += measured
            self._in_flight += 1
            nursery.start_soon(self._send, index, offset_s + send_s, measured)

    def _note_planned(self, measured: bool, lag_s: float) -> None:
        if measured:
            self.outcome.planned += 1
            self.outcome.lag_us.record_value(max(1, int(lag_s * 1_000_000)))

    async def _send(self, index: int, intended_s: float, measured: bool) -> None:
        stream = self._plan.streams[index]
        text = 'no-reply'
        try:
            with trio.move_on_after(stream.wait_s + LATE_ANSWER_S):
                text = await self._exchange(stream)
        finally:
            self._in_flight -= 1
            if measured:
                latency_s = trio.current_time() - intended_s
                self.outcome.streams[index].record(text, latency_s, stream.wait_s)

    async def _exchange(self, stream: LoadStream) -> str:
        connections = self._connections[stream.entry]
        connection = connections.take()
        try:
            return await _call(connection, connections.origin, stream)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            return f'error:{type(error).__name__}'
        finally:
            with trio.CancelScope(shield=True):
                await connections.give_back(connection)


async def _call(
    connection: httpcore.AsyncHTTPConnection, origin: httpcore.Origin, stream: LoadStream
) -> str:
    """Send one request and return its outcome with the reason of a refusal."""
    url = httpcore.URL(
        scheme=origin.scheme,
        host=origin.host,
        port=origin.port,
        target=f'/queues/{stream.queue}{stream.path}'.encode(),
    )
    headers = [
        (b'host', b':'.join((origin.host, str(origin.port).encode()))),
        (b'prefer', f'wait={stream.wait_s:g}'.encode()),
    ]
    if stream.key:
        headers.append((b'authorization', f'Bearer {stream.key}'.encode()))
    if stream.method == 'POST':
        headers.append((b'content-length', b'0'))
    request = httpcore.Request(stream.method, url, headers=headers)
    response = await connection.handle_async_request(request)
    try:
        body = await response.aread()
    finally:
        await response.aclose()
    return _name_outcome(response, body)


def _name_outcome(response: httpcore.Response, body: bytes) -> str:
    headers = {name.lower(): text for name, text in response.headers}
    outcome = headers.get(b'comfreywind-outcome', b'no-outcome').decode()
    if outcome == ANSWERED and response.status == 200:
        return ANSWERED
    if headers.get(b'content-type') == b'application/problem+json':
        reason = json.loads(body)['type'].rpartition(':')[2]
        return f'{outcome}:{reason}'
    return f'{outcome}:{response.status}'


def make_document(outcome: LoadResult, cpu_ratio: float) -> dict[str, Any]:
    """Return the JSON document that the parent process reads."""
    return {
        'streams': [stream.to_document() for stream in outcome.streams],
        'planned': outcome.planned,
        'sent': outcome.sent,
        'lag_us': outcome.lag_us.encode().decode(),
        'cpu_ratio': cpu_ratio,
    }


def main() -> None:
    """Run one part of the plan and print the result."""
    order = json.loads(sys.stdin.read())
    plan = LoadPlan.model_validate(order['plan'])
    worker = LoadWorker(plan, order['worker'])
    started_s = time.process_time()
    trio.run(worker.run, order['start_s'])
    cpu_ratio = (time.process_time() - started_s) / plan.duration_s
    json.dump(make_document(worker.outcome, cpu_ratio), sys.stdout)


if __name__ == '__main__':
    main()
