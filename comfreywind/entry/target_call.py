"""One attempt to run a request at a target."""

from collections.abc import Callable
from functools import partial

import httpcore
import trio

from comfreywind.decisions.attempt import Attempt, AttemptEnd
from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.entry.target_answer import TargetAnswer, read_answer
from comfreywind.entry.target_connection import TargetConnection
from comfreywind.entry.target_connections import TargetConnections, TargetUnreachableError
from comfreywind.entry.target_work import TargetExchange

Release = Callable[[], None]
REPEAT_POLL_INTERVAL_S = 0.05
EXCHANGE_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)


class TargetCall:
    """Sends a request to a target and repeats it over a new connection if there is no response.

    A reused connection may be dead without having been closed. If no byte arrives on it within
    `silence_s` seconds, the idle connections of its generation and older are closed, and the
    request is repeated as soon as `reserve_repeat` returns a function that releases what the repeat
    holds (docs/design.md, 3.6). The first answer is used. If `reserve_repeat` is None, the request
    is not repeated.
    """

    def __init__(
        self,
        connections: TargetConnections,
        request: httpcore.Request,
        services: ServiceTasks,
        connections_limit: int,
        buffer_limit_bytes: int,
        silence_s: float,
        reserve_repeat: Callable[[], Release | None] | None,
    ) -> None:
        """Prepare the call; nothing is sent yet."""
        self._connections = connections
        self._request = request
        self._services = services
        self._connections_limit = connections_limit
        self._buffer_limit_bytes = buffer_limit_bytes
        self._silence_s = silence_s
        self._reserve_repeat = reserve_repeat
        self._connection: TargetConnection | None = None
        self._first_scope = trio.CancelScope()
        self._repeat_scope = trio.CancelScope()
        self._repeat_began = False
        self._repeat_ended = trio.Event()
        self._repeat_answer: TargetAnswer | None = None
        self._ended = False

    async def run(self, release: Release, run_for_s: float) -> TargetAnswer | Attempt:
        """Return the answer, or the failed attempt after at most `run_for_s` seconds.

        Calls `release` once the first exchange no longer runs at the target.
        """
        started_s = trio.current_time()
        reply: TargetAnswer | Attempt | None = None
        with trio.move_on_after(run_for_s):
            try:
                reply = await self._run_both(release, started_s + run_for_s)
            finally:
                self._end_repeat(reply)
        if reply is None:
            return self.make_attempt(AttemptEnd.TIMED_OUT, trio.current_time() - started_s)
        return reply

    def make_attempt(self, end: AttemptEnd, elapsed_s: float = 0) -> Attempt:
        """Return the record of the attempt with the given end."""
        if self._connection is None:
            return Attempt(end, byte_sent=False, byte_received=False, elapsed_s=elapsed_s)
        stream = self._connection.stream
        reused = self._connection.reused
        silent = not stream.byte_received and self._connections.is_proven_silent(self._connection)
        return Attempt(end, stream.byte_sent, stream.byte_received, reused, elapsed_s, silent)

    async def _run_both(self, release: Release, run_until_s: float) -> TargetAnswer | Attempt:
        with self._first_scope:
            first = await self._run_first(release, run_until_s)
            if isinstance(first, TargetAnswer) or not self._repeat_began:
                return first
            await self._repeat_ended.wait()
        if self._repeat_answer is not None:
            return self._repeat_answer
        return self.make_attempt(AttemptEnd.BROKEN)

    async def _run_first(self, release: Release, run_until_s: float) -> TargetAnswer | Attempt:
        try:
            connection = await self._connections.acquire(self._connections_limit)
        except TargetUnreachableError:
            release()
            return self.make_attempt(AttemptEnd.UNREACHABLE)
        except trio.Cancelled:
            release()
            raise
        self._connection = connection
        report_silence = None
        if connection.reused:
            report_silence = partial(self._handle_silence, run_until_s)
        connection.stream.start_exchange(self._silence_s, report_silence)
        exchange = self._make_exchange(connection, release, run_until_s)
        try:
            return await self._read_answer(exchange)
        except EXCHANGE_ERRORS:
            return self.make_attempt(AttemptEnd.BROKEN)

    async def _read_answer(self, exchange: TargetExchange) -> TargetAnswer:
        try:
            return await read_answer(self._request, exchange, self._buffer_limit_bytes)
        except BaseException:
            exchange.end()
            raise

    def _handle_silence(self, run_until_s: float) -> None:
        if self._connection is None:
            return
        self._connections.retire_silent(self._connection)
        if self._reserve_repeat is not None:
            self._services.start(partial(self._run_repeat, self._reserve_repeat, run_until_s))

    async def _run_repeat(self, reserve: Callable[[], Release | None], run_until_s: float) -> None:
        with self._repeat_scope:
            release = reserve()
            while release is None:
                await trio.sleep(REPEAT_POLL_INTERVAL_S)
                release = reserve()
            self._repeat_began = True
            self._repeat_answer = await self._send_repeat(release, run_until_s)
        self._repeat_ended.set()
        if self._repeat_answer is None:
            return
        if self._ended:
            self._repeat_answer.exchange.end()
        else:
            self._first_scope.cancel()

    async def _send_repeat(self, release: Release, run_until_s: float) -> TargetAnswer | None:
        try:
            connection = await self._connections.acquire(self._connections_limit, fresh=True)
        except TargetUnreachableError:
            release()
            return None
        except trio.Cancelled:
            release()
            raise
        connection.stream.start_exchange(self._silence_s, None)
        try:
            answer = await self._read_answer(self._make_exchange(connection, release, run_until_s))
        except EXCHANGE_ERRORS:
            return None
        if answer.reports_not_run():
            release()
            return None
        return answer

    def _make_exchange(
        self, connection: TargetConnection, release: Release, run_until_s: float
    ) -> TargetExchange:
        return TargetExchange(self._connections, connection, release, run_until_s, self._services)

    def _end_repeat(self, reply: TargetAnswer | Attempt | None) -> None:
        self._ended = True
        self._repeat_scope.cancel()
        if self._repeat_answer is not None and self._repeat_answer is not reply:
            self._repeat_answer.exchange.end()
