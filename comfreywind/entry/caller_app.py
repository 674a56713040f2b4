"""ASGI application for the callers."""

import json
import logging
import math
import uuid
from functools import partial

import trio

from comfreywind.bundle.rules import PoolRules, QueueRules, Rules
from comfreywind.clock import Clock
from comfreywind.decisions.admission import Admission, AdmissionRequest, admit_request
from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.answer_sender import AnswerCutError
from comfreywind.entry.caller_body import CallerBody
from comfreywind.entry.caller_request import CallerRequest
from comfreywind.entry.forwarder import Forwarder
from comfreywind.entry.header_rules import find_header, select_request_headers
from comfreywind.entry.idempotency_key import read_idempotency_key
from comfreywind.entry.queue_path import QueuePath, split_queue_path
from comfreywind.entry.readiness import Readiness
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.request_check import check_request
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.scope_keys import SCOPE_QUEUE, SCOPE_TEAM
from comfreywind.entry.wait_preference import read_wait_s
from comfreywind.http.asgi_body import BodyIncompleteError
from comfreywind.http.asgi_reply import send_json, send_reply
from comfreywind.http.asgi_types import HeaderList, Message, Receive, Scope, Send

# Time limit for reading a request body, so that slow senders do not accumulate.
BODY_TIMEOUT_S = 30.0
STOPPING = Refusal(
    RefusalReason.ENTRY_STOPPING, 'this entry is shutting down; another one may', retry_after_s=1
)

log = logging.getLogger('comfreywind.caller')


class CallerApp:
    """Admits and forwards requests; every response to one has an outcome header."""

    def __init__(
        self,
        rules_view: RulesView,
        readiness: Readiness,
        forwarder: Forwarder,
        clock: Clock,
        body_limit_bytes: int,
        default_deadline_s: float,
    ) -> None:
        """Use the given components; `default_deadline_s` applies without a wait preference."""
        self._rules_view = rules_view
        self._readiness = readiness
        self._forwarder = forwarder
        self._clock = clock
        self._body_limit_bytes = body_limit_bytes
        self._default_deadline_s = default_deadline_s
        self.leaving = False
        self.stopping = False
        self.active_count = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; while the entry is leaving, close the connection afterwards."""
        self.active_count += 1
        try:
            await self._answer(scope, receive, self._close_when_leaving(send))
        finally:
            self.active_count -= 1

    def _close_when_leaving(self, send: Send) -> Send:
        async def send_message(message: Message) -> None:
            if self.leaving and message['type'] == 'http.response.start':
                headers = [*message['headers'], (b'connection', b'close')]
                message = {**message, 'headers': headers}
            await send(message)

        return send_message

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope['path'] == '/health/ready':
            ready = self._readiness.get_refusal() is None and not self.leaving
            await send_json(send, 200 if ready else 503, {'ready': ready})
            return
        request_id = find_header(scope['headers'], b'x-request-id') or uuid.uuid4().hex
        body = CallerBody(receive, self._body_limit_bytes)
        try:
            await self._serve(scope, body, send, request_id)
        except RefusalError as error:
            await send_refusal(send, error.refusal, request_id, body)
        except BodyIncompleteError:
            log.info(
                'request %s: the caller disconnected before its body was complete; not forwarded',
                request_id,
            )
        except AnswerCutError as error:
            # On return, the server closes the connection without the end of the body, so that the
            # caller recognizes the truncated answer.
            log.warning('request %s: closing the connection to the caller: %s', request_id, error)

    async def _serve(self, scope: Scope, body: CallerBody, send: Send, request_id: str) -> None:
        rules = self._get_rules()
        check_request(scope, request_id)
        path = split_queue_path(scope)
        if path is None:
            raise RefusalError(
                Refusal(RefusalReason.QUEUE_UNKNOWN, 'paths start with /queues/{queue}/')
            )
        admission = self._admit(scope['headers'], path.queue, rules)
        scope[SCOPE_QUEUE] = admission.queue.name
        scope[SCOPE_TEAM] = admission.team
        request = await self._read_request(scope, body, request_id, admission, path)
        pool = rules.pools[admission.queue.pool]
        await self._forward(request, admission.queue, pool, body, send)

    async def _forward(
        self,
        request: CallerRequest,
        queue: QueueRules,
        pool: PoolRules,
        body: CallerBody,
        send: Send,
    ) -> None:
        """Forward the request; cancel it when the caller disconnects."""
        failure: RefusalError | AnswerCutError | None = None
        shielded_send = partial(_send_shielded, send)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(body.cancel_on_disconnect, nursery.cancel_scope)
            try:
                await self._forwarder.forward(request, queue, pool, shielded_send)
            except (RefusalError, AnswerCutError) as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    def _get_rules(self) -> Rules:
        if self.stopping:
            raise RefusalError(STOPPING)
        refusal = self._readiness.get_refusal()
        if refusal is not None:
            raise RefusalError(refusal)
        return self._rules_view.require_rules()

    def _admit(self, headers: HeaderList, queue: str, rules: Rules) -> Admission:
        admission_request = AdmissionRequest(
            queue=queue,
            authorization=find_header(headers, b'authorization'),
            named_team=find_header(headers, b'comfreywind-team'),
        )
        admission = admit_request(admission_request, rules, self._rules_view.keys)
        if isinstance(admission, Refusal):
            raise RefusalError(admission)
        return admission

    async def _read_request(
        self,
        scope: Scope,
        body: CallerBody,
        request_id: str,
        admission: Admission,
        path: QueuePath,
    ) -> CallerRequest:
        headers: HeaderList = scope['headers']
        wait_s = read_wait_s(headers, self._default_deadline_s)
        deadline_s = self._clock.read_monotonic_s() + wait_s
        if not wait_s:
            detail = 'the caller is not willing to wait'
            raise RefusalError(Refusal(RefusalReason.DEADLINE_IN_QUEUE, detail))
        idempotency_key = read_idempotency_key(headers)
        return CallerRequest(
            request_id=request_id,
            method=scope['method'],
            target_path=path.target_path,
            headers=select_request_headers(headers),
            body=await body.read_whole(min(wait_s, BODY_TIMEOUT_S)),
            team=admission.team,
            deadline_s=deadline_s,
            idempotency_key=idempotency_key,
        )


async def _send_shielded(send: Send, message: Message) -> None:
    """Send a message of the answer, shielded from the cancellation of the request.

    The server reports a disconnect while it handles the last message. If it were cancelled then, it
    would leave the connection open.
    """
    with trio.CancelScope(shield=True):
        await send(message)


async def send_refusal(send: Send, refusal: Refusal, request_id: str, body: CallerBody) -> None:
    """Send a refusal as problem details (RFC 9457)."""
    headers: HeaderList = [
        (b'content-type', b'application/problem+json'),
        (b'x-request-id', request_id.encode('latin-1', 'replace')),
        (b'comfreywind-outcome', refusal.outcome.value.encode()),
        (b'comfreywind-reason', refusal.reason.problem.encode()),
    ]
    if refusal.retry_after_s is not None:
        headers.append((b'retry-after', str(math.ceil(refusal.retry_after_s)).encode()))
    if refusal.reason.status == 401:
        headers.append((b'www-authenticate', b'Bearer'))
    document = json.dumps(refusal.to_document(request_id)).encode()
    if body.complete:
        await send_reply(send, refusal.reason.status, headers, document)
        return
    headers.append((b'connection', b'close'))
    headers.append((b'content-length', str(len(document)).encode()))
    await send({'type': 'http.response.start', 'status': refusal.reason.status, 'headers': headers})
    await send({'type': 'http.response.body', 'body': document, 'more_body': True})
    # The whole answer is sent. Closing the connection while the caller still sends could reset it
    # before the caller has read the answer.
    await body.discard_rest()
    await send({'type': 'http.response.body', 'body': b''})
