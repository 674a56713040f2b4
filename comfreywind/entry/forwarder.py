"""Forwards a request to a target and the answer to the caller."""

from comfreywind.bundle.rules import PoolRules, QueueRules
from comfreywind.clock import Clock
from comfreywind.entry.answer_sender import send_answer
from comfreywind.entry.caller_request import CallerRequest
from comfreywind.entry.claim import Claim
from comfreywind.entry.claims import Claims
from comfreywind.entry.idempotency_key import compute_fingerprint
from comfreywind.entry.request_run import RequestRun
from comfreywind.entry.target_answer import TargetAnswer
from comfreywind.entry.target_caller import TargetCaller
from comfreywind.http.asgi_types import Send


class Forwarder:
    """Claims the idempotency key, runs the request and sends the answer to the caller."""

    def __init__(self, caller: TargetCaller, claims: Claims, clock: Clock) -> None:
        """Use the given components."""
        self._caller = caller
        self._claims = claims
        self._clock = clock

    async def forward(
        self, request: CallerRequest, queue: QueueRules, pool: PoolRules, send: Send
    ) -> None:
        """Send the request to targets of the pool and the answer to the caller.

        Raises RefusalError if there is no answer, AnswerCutError if it is truncated. Cancellation
        aborts the exchange with the target.
        """
        claim = await self._claim(request, queue)
        run = RequestRun(request, queue, pool, has_claim=claim is not None)
        try:
            await self._run(run, send)
        finally:
            if claim is not None:
                self._claims.finish(claim, run.get_outcome())

    async def _run(self, run: RequestRun, send: Send) -> None:
        answer = await self._caller.call(run)
        if answer.complete:
            run.answered = True
        await self._send(answer, run, send)
        run.answered = True

    async def _send(self, answer: TargetAnswer, run: RequestRun, send: Send) -> None:
        request = run.request
        time_left_s = min(run.pool.max_run_s, self._compute_remaining_s(request))
        try:
            await send_answer(answer, request.method, request.request_id, time_left_s, send)
        finally:
            answer.exchange.end(complete=answer.complete)

    async def _claim(self, request: CallerRequest, queue: QueueRules) -> Claim | None:
        if request.idempotent or not request.idempotency_key:
            return None
        row_key = f'{request.team}/{request.idempotency_key}'
        fingerprint = compute_fingerprint(request, queue.name)
        return await self._claims.claim(row_key, fingerprint, self._compute_remaining_s(request))

    def _compute_remaining_s(self, request: CallerRequest) -> float:
        return max(0, request.deadline_s - self._clock.read_monotonic_s())
