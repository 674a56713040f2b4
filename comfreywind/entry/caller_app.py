"""The callers' HTTP side."""

import json
import logging
import math
import re
import uuid

from comfreywind.bundle.rules import Rules
from comfreywind.clock import Clock
from comfreywind.decisions.admission import Admission, AdmissionRequest, admit_request
from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.caller_request import CallerRequest
from comfreywind.entry.forwarder import Forwarder
from comfreywind.entry.header_rules import find_header, select_request_headers
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.scope_keys import SCOPE_QUEUE, SCOPE_TEAM
from comfreywind.http.asgi_body import BodyIncompleteError, BodyTooLargeError, read_body
from comfreywind.http.asgi_reply import send_json, send_reply
from comfreywind.http.asgi_types import HeaderList, Message, Receive, Scope, Send

QUEUE_PATH = re.compile('^/queues/([^/]+)(/.*)?$')
REQUEST_ID = re.compile('^[A-Za-z0-9._:-]{1,128}$')
WAIT_PREFERENCE = re.compile(r'(?:^|[,;\s])wait=(\d+(?:\.\d+)?)')

log = logging.getLogger('comfreywind.caller')


class CallerApp:
    """Admits requests and forwards them; every response states its outcome."""

    def __init__(
        self,
        rules_view: RulesView,
        forwarder: Forwarder,
        clock: Clock,
        body_limit_bytes: int,
        default_deadline_s: float,
    ) -> None:
        """Use the given parts."""
        self._rules_view = rules_view
        self._forwarder = forwarder
        self._clock = clock
        self._body_limit_bytes = body_limit_bytes
        self._default_deadline_s = default_deadline_s
        self.leaving = False
        self.stopping = False
        self.active_count = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; once the entry is leaving, the response closes the connection."""
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
            ready = self._find_unready_reason() is None and not self.leaving
            await send_json(send, 200 if ready else 503, {'ready': ready})
            return
        request_id = find_header(scope['headers'], b'x-request-id') or uuid.uuid4().hex
        try:
            await self._serve(scope, receive, send, request_id)
        except RefusalError as error:
            await send_refusal(send, error.refusal, request_id)
        except BodyIncompleteError:
            log.info('request %s: the caller left before its body was complete', request_id)

    async def _serve(self, scope: Scope, receive: Receive, send: Send, request_id: str) -> None:
        rules = self._read_rules()
        if not REQUEST_ID.match(request_id):
            raise RefusalError(
                Refusal(
                    RefusalReason.HEADER_MALFORMED, 'X-Request-ID is not 1 to 128 plain letters'
                )
            )
        path = QUEUE_PATH.match(scope['path'])
        if path is None:
            raise RefusalError(
                Refusal(RefusalReason.QUEUE_UNKNOWN, 'paths start with /queues/{queue}/')
            )
        admission = self._admit(scope['headers'], path.group(1), rules)
        scope[SCOPE_QUEUE] = admission.queue.name
        scope[SCOPE_TEAM] = admission.team
        request = await self._read_request(scope, receive, request_id, admission)
        pool = rules.pools[admission.queue.pool]
        await self._forwarder.forward(request, admission.queue, pool.max_run_s, send)

    def _read_rules(self) -> Rules:
        reason = self._find_unready_reason()
        rules = self._rules_view.rules
        if reason is not None or rules is None:
            raise RefusalError(
                Refusal(
                    reason or RefusalReason.ENTRY_STARTING,
                    'this entry takes no work now; another one may',
                    retry_after_s=1,
                )
            )
        return rules

    def _find_unready_reason(self) -> RefusalReason | None:
        if self.stopping:
            return RefusalReason.ENTRY_STOPPING
        if self._rules_view.rules is None:
            return RefusalReason.ENTRY_STARTING
        if not self._rules_view.is_fresh():
            return RefusalReason.RULES_STALE
        return None

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
        self, scope: Scope, receive: Receive, request_id: str, admission: Admission
    ) -> CallerRequest:
        headers: HeaderList = scope['headers']
        deadline_s = self._clock.read_monotonic_s() + self._read_wait_s(headers)
        try:
            body = await read_body(receive, self._body_limit_bytes)
        except BodyTooLargeError as error:
            raise RefusalError(Refusal(RefusalReason.BODY_TOO_LARGE, str(error))) from error
        return CallerRequest(
            request_id=request_id,
            method=scope['method'],
            target_path=_make_target_path(scope, admission.queue.name),
            headers=select_request_headers(headers),
            body=body,
            team=admission.team,
            deadline_s=deadline_s,
            idempotency_key=find_header(headers, b'idempotency-key'),
        )

    def _read_wait_s(self, headers: HeaderList) -> float:
        """Return the caller's wait preference (RFC 7240 section 4.3) or the default."""
        preference = WAIT_PREFERENCE.search(find_header(headers, b'prefer'))
        return float(preference.group(1)) if preference else self._default_deadline_s


async def send_refusal(send: Send, refusal: Refusal, request_id: str) -> None:
    """Send a refusal as problem details (RFC 9457)."""
    headers: HeaderList = [
        (b'x-request-id', request_id.encode('latin-1', 'replace')),
        (b'comfreywind-outcome', refusal.outcome.value.encode()),
        (b'comfreywind-reason', refusal.reason.problem.encode()),
    ]
    if refusal.retry_after_s is not None:
        headers.append((b'retry-after', str(math.ceil(refusal.retry_after_s)).encode()))
    if refusal.reason.status == 401:
        headers.append((b'www-authenticate', b'Bearer'))
    await send_problem(send, refusal.reason.status, refusal.to_document(request_id), headers)


async def send_problem(
    send: Send, status: int, document: dict[str, object], headers: HeaderList
) -> None:
    """Send a problem details document."""
    body = json.dumps(document).encode()
    content_type = (b'content-type', b'application/problem+json')
    await send_reply(send, status, [content_type, *headers], body)


def _make_target_path(scope: Scope, queue: str) -> bytes:
    raw_path: bytes = scope['raw_path']
    rest = raw_path[len(f'/queues/{queue}') :] or b'/'
    query: bytes = scope['query_string']
    return b'?'.join((rest, query)) if query else rest
