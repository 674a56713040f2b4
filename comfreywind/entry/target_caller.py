"""Sends a request to targets until one answers or the retry limits are reached."""

from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial

import httpcore

from comfreywind.clock import Clock
from comfreywind.decisions.attempt import Attempt, AttemptEnd, counts_as_failure
from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.decisions.retry import RetryContext, RetryDecision, decide_retry
from comfreywind.decisions.retry_budget import (
    RetryBudget,
    allows_retry,
    record_request,
    record_retry,
)
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.placement import Placement
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.request_run import RequestRun
from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.entry.target_answer import TargetAnswer
from comfreywind.entry.target_call import TargetCall
from comfreywind.entry.target_client import TargetClient
from comfreywind.entry.target_health import TargetHealth
from comfreywind.entry.unit_source import UnitSource
from comfreywind.http.asgi_types import HeaderList

RETRY_AFTER_S = 1.0
MILLISECONDS_PER_S = 1000
CallResult = TargetAnswer | Attempt


class TargetCaller:
    """Acquires a target for a request, calls it and decides after each attempt on a retry."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        targets: TargetClient,
        health: TargetHealth,
        units: UnitSource,
        services: ServiceTasks,
        clock: Clock,
        entries_count: int,
        buffer_limit_bytes: int,
        silence_s: float,
    ) -> None:
        """Use the given components; `entries_count` divides the connections to a target."""
        self._dispatcher = dispatcher
        self._targets = targets
        self._health = health
        self._units = units
        self._services = services
        self._clock = clock
        self._entries_count = entries_count
        self._buffer_limit_bytes = buffer_limit_bytes
        self._silence_s = silence_s
        self._budget = RetryBudget()

    async def call(self, run: RequestRun) -> TargetAnswer:
        """Return the answer of a target; raise RefusalError if no attempt gets one."""
        self._budget = record_request(self._budget, self._clock.read_monotonic_s())
        while True:
            placement = await self._acquire(run)
            reply = await self._call_target(run, placement)
            attempt = _classify_reply(reply)
            self._health.report(placement.target, placement.pool, counts_as_failure(attempt))
            run.record(attempt, placement)
            decision = self._decide(run, attempt)
            if decision is RetryDecision.FINISH:
                return self._finish(run, reply, attempt, placement)
            await self._prepare_retry(run, reply, decision)

    async def _acquire(self, run: RequestRun) -> Placement:
        ticket = run.make_ticket()
        acquire = self._dispatcher.acquire
        if run.refused_at is not None:
            acquire = partial(self._dispatcher.reacquire, placement=run.refused_at)
        try:
            return await acquire(ticket)
        except RefusalError as error:
            raise RefusalError(run.adjust_refusal(error.refusal)) from error

    async def _call_target(self, run: RequestRun, placement: Placement) -> CallResult:
        release = partial(self._dispatcher.release, placement)
        # Read the clock before the session: if the process is suspended in between, the start limit
        # in the header gets earlier, never later than the end of the session.
        now = self._clock.read_utc()
        session_left_s = self._units.read_session_left_s()
        remaining_s = self._compute_remaining_s(run)
        if session_left_s <= 0 or remaining_s <= 0:
            release()
            raise RefusalError(run.adjust_refusal(_make_start_refusal(session_left_s)))
        run_for_s = min(run.pool.max_run_s, remaining_s)
        call = TargetCall(
            self._targets.get_connections(placement.target),
            self._make_request(run, placement, now, min(session_left_s, run_for_s), run_for_s),
            self._services,
            max(1, run.pool.connections_per_vm // self._entries_count),
            self._buffer_limit_bytes,
            self._silence_s,
            partial(self._reserve_repeat, placement.team) if run.request.idempotent else None,
        )
        run.call = call
        self._health.start(placement.target)
        try:
            return await call.run(release, run_for_s)
        finally:
            self._health.finish(placement.target)

    def _decide(self, run: RequestRun, attempt: Attempt) -> RetryDecision:
        idempotent = run.request.idempotent
        context = RetryContext(
            idempotent=idempotent,
            failures=run.failures,
            time_left_s=self._compute_remaining_s(run),
            other_target_exists=self._has_other_target(run, attempt),
            budget_left=allows_retry(self._budget, self._clock.read_monotonic_s()),
        )
        return decide_retry(attempt, context)

    def _has_other_target(self, run: RequestRun, attempt: Attempt) -> bool:
        if attempt.end is AttemptEnd.ANSWERED:
            return False
        idempotent = run.request.idempotent
        return self._health.has_other_target(run.pool.name, run.failed_targets, idempotent)

    async def _prepare_retry(
        self, run: RequestRun, reply: CallResult, decision: RetryDecision
    ) -> None:
        if decision is RetryDecision.QUEUE_AGAIN:
            return
        if isinstance(reply, TargetAnswer):
            await reply.discard()
        if decision is RetryDecision.RETRY_SAME_TARGET:
            run.failed_targets = frozenset()
        self._budget = record_retry(self._budget, self._clock.read_monotonic_s())

    def _finish(
        self, run: RequestRun, reply: CallResult, attempt: Attempt, placement: Placement
    ) -> TargetAnswer:
        """Return the answer, even an error of the target; raise RefusalError if there is none."""
        if attempt.end is AttemptEnd.REFUSED:
            self._dispatcher.release(placement)
        elif isinstance(reply, TargetAnswer):
            return reply
        raise RefusalError(run.make_refusal(attempt, placement.target.name))

    def _reserve_repeat(self, team: str) -> Callable[[], None] | None:
        """Reserve a unit for a repeat over a new connection and return a function to release it.

        Returns None if the retry budget is spent or the team has no free unit.
        """
        now_s = self._clock.read_monotonic_s()
        if not allows_retry(self._budget, now_s) or not self._units.try_acquire_unit(team):
            return None
        self._budget = record_retry(self._budget, now_s)
        return partial(self._release_repeat, team)

    def _release_repeat(self, team: str) -> None:
        self._units.release_unit(team)
        self._dispatcher.wake_team(team)

    def _make_request(
        self,
        run: RequestRun,
        placement: Placement,
        now: datetime,
        start_within_s: float,
        run_for_s: float,
    ) -> httpcore.Request:
        request = run.request
        address = placement.target.address
        start_before = now + timedelta(seconds=start_within_s)
        run_until = now + timedelta(seconds=run_for_s)
        headers: HeaderList = [
            (b'host', str(address).encode()),
            (b'content-length', str(len(request.body)).encode()),
            (b'x-request-id', request.request_id.encode()),
            (b'comfreywind-team', request.team.encode()),
            (b'comfreywind-start-before', _format_instant(start_before)),
            (b'comfreywind-run-until', _format_instant(run_until)),
            *request.headers,
        ]
        url = httpcore.URL(
            scheme=b'http',
            host=address.host.encode(),
            port=address.port,
            target=request.target_path,
        )
        return httpcore.Request(request.method, url, headers=headers, content=request.body)

    def _compute_remaining_s(self, run: RequestRun) -> float:
        return run.request.deadline_s - self._clock.read_monotonic_s()


def _format_instant(instant: datetime) -> bytes:
    """Return Unix time with milliseconds, rounded down so that no lease gets longer."""
    whole_ms = int(instant.timestamp() * MILLISECONDS_PER_S)
    return f'{whole_ms / MILLISECONDS_PER_S:.3f}'.encode()


def _classify_reply(reply: CallResult) -> Attempt:
    if isinstance(reply, Attempt):
        return reply
    if reply.reports_not_run():
        return Attempt(AttemptEnd.REFUSED)
    return Attempt(AttemptEnd.ERROR_ANSWERED if reply.is_error() else AttemptEnd.ANSWERED)


def _make_start_refusal(session_left_s: float) -> Refusal:
    if session_left_s <= 0:
        return Refusal(
            RefusalReason.RULES_STALE,
            'this entry may start no work now',
            retry_after_s=RETRY_AFTER_S,
        )
    return Refusal(
        RefusalReason.DEADLINE_IN_QUEUE,
        'the deadline passed before the request was sent',
        retry_after_s=RETRY_AFTER_S,
    )
