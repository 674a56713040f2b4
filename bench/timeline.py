"""Requests at a set rate with events in between, each request kept with its times."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import httpcore
import trio

from bench.load_connections import LoadConnections

TIMEOUT_S = 12
OUTCOME_NO_REPLY = 'no-reply'
NETWORK_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests to one entry at a set rate."""

    address: str
    path: str
    key: str
    rate_hz: float
    method: str = 'GET'


@dataclass(frozen=True, slots=True)
class Event:
    """Something done at a time after the start, in seconds."""

    at_s: float
    act: Callable[[], object]


@dataclass(frozen=True, slots=True)
class Sample:
    """One request: its intended send time and its end, in seconds after the start."""

    request_id: str
    address: str
    sent_s: float
    done_s: float
    outcome: str


class Timeline:
    """Sends the streams' requests and runs the events."""

    def __init__(self, streams: list[Stream], events: list[Event], duration_s: float) -> None:
        """Keep the plan."""
        self._streams = streams
        self._events = events
        self._duration_s = duration_s
        self._samples: list[Sample] = []
        self._started_s = float('nan')

    def run(self) -> list[Sample]:
        """Run to the end and return all requests in the order of their ends."""
        trio.run(self._run)
        return self._samples

    async def _run(self) -> None:
        self._started_s = trio.current_time()
        connections = {stream.address: LoadConnections(stream.address) for stream in self._streams}
        async with trio.open_nursery() as nursery:
            for event in self._events:
                nursery.start_soon(self._run_event, event)
            for stream in self._streams:
                nursery.start_soon(self._send_stream, nursery, connections[stream.address], stream)

    async def _run_event(self, event: Event) -> None:
        await trio.sleep_until(self._started_s + event.at_s)
        await trio.to_thread.run_sync(event.act)

    async def _send_stream(
        self, nursery: trio.Nursery, connections: LoadConnections, stream: Stream
    ) -> None:
        for index in range(int(self._duration_s * stream.rate_hz)):
            sent_s = index / stream.rate_hz
            await trio.sleep_until(self._started_s + sent_s)
            nursery.start_soon(self._send, connections, stream, sent_s)

    async def _send(self, connections: LoadConnections, stream: Stream, sent_s: float) -> None:
        request_id = uuid.uuid4().hex
        headers = [
            (b'authorization', f'Bearer {stream.key}'.encode()),
            (b'x-request-id', request_id.encode()),
        ]
        outcome = OUTCOME_NO_REPLY
        with trio.move_on_after(TIMEOUT_S):
            outcome = await _call(connections, stream, headers)
        done_s = trio.current_time() - self._started_s
        self._samples.append(Sample(request_id, stream.address, sent_s, done_s, outcome))


async def _call(
    connections: LoadConnections, stream: Stream, headers: list[tuple[bytes, bytes]]
) -> str:
    url = f'http://{stream.address}{stream.path}'
    host_header = (b'host', stream.address.encode())
    connection = connections.take()
    try:
        reply = await connection.request(stream.method, url, headers=[host_header, *headers])
    except NETWORK_ERRORS:
        return OUTCOME_NO_REPLY
    finally:
        with trio.CancelScope(shield=True):
            await connections.give_back(connection)
    for name, text in reply.headers:
        if name.lower() == b'comfreywind-outcome':
            return text.decode()
    return OUTCOME_NO_REPLY


def measure_goodput_hz(samples: list[Sample], from_s: float, to_s: float) -> float:
    """Return the answered requests a second that ended in the span."""
    answered = [
        sample
        for sample in samples
        if sample.outcome == 'answered' and from_s <= sample.done_s < to_s
    ]
    return len(answered) / (to_s - from_s)


def find_recovery_s(
    samples: list[Sample], fault_s: float, end_s: float, goal_hz: float
) -> float | None:
    """Return the seconds from the fault until goodput stays at the goal for a second, or None.

    The answer is 0 when goodput never falls below the goal.
    """
    step_s = 0.1
    window_s = 1.0
    starts = [fault_s + step_s * index for index in range(int((end_s - fault_s) / step_s))]
    below = [
        start
        for start in starts
        if start + window_s <= end_s
        and measure_goodput_hz(samples, start, start + window_s) < goal_hz
    ]
    if not below:
        return 0
    recovered_s = below[-1] + window_s - fault_s
    return None if below[-1] + window_s + step_s >= end_s else recovered_s
