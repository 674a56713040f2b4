"""Sends a request to its target and the answer to the caller."""

from collections.abc import AsyncIterator
from datetime import timedelta

import httpcore
import trio

from comfreywind.bundle.rules import QueueRules
from comfreywind.clock import Clock
from comfreywind.decisions.refusal import Outcome, Refusal, RefusalReason
from comfreywind.entry.caller_request import CallerRequest
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.header_rules import find_header, select_answer_headers
from comfreywind.entry.placement import Placement
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.target_client import TargetClient
from comfreywind.entry.ticket import Ticket
from comfreywind.entry.unit_source import UnitSource
from comfreywind.http.asgi_types import HeaderList, Send

STATUS_UNAVAILABLE = 503
RETRY_AFTER_S = 1.0


class AnswerCutError(Exception):
    """The target's answer broke off after its headers had gone to the caller."""


class TargetBusyError(Exception):
    """The target stated that it has not run the request, because it has no free slot."""


class Forwarder:
    """Places a request, sends it and passes the answer on."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        targets: TargetClient,
        units: UnitSource,
        clock: Clock,
        buffer_limit_bytes: int,
    ) -> None:
        """Use the given parts; answers up to the limit are read whole before they are sent on."""
        self._dispatcher = dispatcher
        self._targets = targets
        self._units = units
        self._clock = clock
        self._buffer_limit_bytes = buffer_limit_bytes

    async def forward(
        self, request: CallerRequest, queue: QueueRules, max_run_s: float, send: Send
    ) -> None:
        """Send the request to one target and its answer to the caller.

        Raises RefusalError when there is no answer, AnswerCutError when it broke off midway.
        """
        ticket = Ticket(
            request.request_id,
            queue,
            request.team,
            request.deadline_s,
            idempotent=request.idempotent,
        )
        placement = await self._dispatcher.acquire(ticket)
        while not await self._run_at(placement, request, max_run_s, send):
            placement = await self._dispatcher.reacquire(ticket, placement)

    async def _run_at(
        self, placement: Placement, request: CallerRequest, max_run_s: float, send: Send
    ) -> bool:
        """Run the request; return False, with the placement still held, when it was not run."""
        try:
            await self._call_target(request, placement, max_run_s, send)
        except TargetBusyError:
            return False
        except BaseException:
            self._dispatcher.release(placement)
            raise
        self._dispatcher.release(placement)
        return True

    async def _call_target(
        self, request: CallerRequest, placement: Placement, max_run_s: float, send: Send
    ) -> None:
        time_left_s = min(max_run_s, request.deadline_s - self._clock.read_monotonic_s())
        with trio.move_on_after(max(0, time_left_s)) as scope:
            await self._exchange(request, placement, max_run_s, send)
        if scope.cancelled_caught:
            raise RefusalError(
                Refusal(
                    RefusalReason.TARGET_TIMEOUT,
                    f'{placement.target.name} did not answer in {time_left_s:.3f} s',
                    Outcome.UNKNOWN,
                )
            )

    async def _exchange(
        self, request: CallerRequest, placement: Placement, max_run_s: float, send: Send
    ) -> None:
        target = placement.target
        pool = self._targets.find_pool(target)
        url = httpcore.URL(
            scheme=b'http',
            host=target.address.host.encode(),
            port=target.address.port,
            target=request.target_path,
        )
        headers = self._make_headers(request, str(target.address), max_run_s)
        try:
            async with pool.stream(
                request.method, url, headers=headers, content=request.body
            ) as response:
                await self._pass_answer(request, response, send)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise RefusalError(
                Refusal(
                    RefusalReason.TARGET_FAILED,
                    f"{target.name} can't be reached: {error}",
                    retry_after_s=RETRY_AFTER_S,
                )
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise RefusalError(
                Refusal(RefusalReason.TARGET_FAILED, f'{target.name}: {error!r}', Outcome.UNKNOWN)
            ) from error

    def _make_headers(self, request: CallerRequest, host: str, max_run_s: float) -> HeaderList:
        now = self._clock.read_utc()
        start_before = now + timedelta(seconds=self._units.read_session_left_s())
        run_until = now + timedelta(seconds=max_run_s)
        return [
            (b'host', host.encode()),
            (b'content-length', str(len(request.body)).encode()),
            (b'x-request-id', request.request_id.encode()),
            (b'comfreywind-team', request.team.encode()),
            (b'comfreywind-start-before', f'{start_before.timestamp():.3f}'.encode()),
            (b'comfreywind-run-until', f'{run_until.timestamp():.3f}'.encode()),
            *request.headers,
        ]

    async def _pass_answer(
        self, request: CallerRequest, response: httpcore.Response, send: Send
    ) -> None:
        if _says_not_run(response):
            raise TargetBusyError
        chunks = response.aiter_stream()
        head, complete = await _read_head(chunks, self._buffer_limit_bytes)
        headers = [
            *select_answer_headers(list(response.headers)),
            (b'x-request-id', request.request_id.encode()),
            (b'comfreywind-outcome', Outcome.ANSWERED.value.encode()),
        ]
        start = {'type': 'http.response.start', 'status': response.status, 'headers': headers}
        await send(start)
        await send({'type': 'http.response.body', 'body': head, 'more_body': not complete})
        if complete:
            return
        try:
            async for chunk in chunks:
                await send({'type': 'http.response.body', 'body': chunk, 'more_body': True})
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise AnswerCutError(f'the answer broke off: {error!r}') from error
        await send({'type': 'http.response.body', 'body': b''})


async def _read_head(chunks: AsyncIterator[bytes], limit_bytes: int) -> tuple[bytes, bool]:
    """Return the body up to about the limit and whether that is all of it."""
    parts: list[bytes] = []
    size_bytes = 0
    async for chunk in chunks:
        parts.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            return b''.join(parts), False
    return b''.join(parts), True


def _says_not_run(response: httpcore.Response) -> bool:
    outcome = find_header(list(response.headers), b'comfreywind-outcome')
    return response.status == STATUS_UNAVAILABLE and outcome == Outcome.NOT_RUN.value
