"""ASGI app through which callers submit, query and cancel jobs."""

import logging
from functools import partial, singledispatch

import trio

from comfreywind.clock import Clock
from comfreywind.errors import (
    JobIdTakenError,
    JobRequestError,
    StoreRefusedError,
    StoreUnavailableError,
)
from comfreywind.http.asgi_body import (
    BodyIncompleteError,
    BodyTooLargeError,
    discard_body,
    read_body,
)
from comfreywind.http.asgi_reply import send_json
from comfreywind.http.asgi_types import Receive, Scope, Send
from comfreywind.http.client import HttpReply, Permit
from comfreywind.http.parsed_bytes import ManyPartsError, ParsedBytes, ParsedBytesError
from comfreywind.intake.caller_call import CallerCall
from comfreywind.intake.job_store import JobStore
from comfreywind.intake.peer_relay import PeerRelay
from comfreywind.intake.scarcity_gate import ScarcityGate
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.job_state import JobState
from comfreywind.jobs.queue import Queue
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.metrics import Metrics
from comfreywind.platform.caller_codec import JOB_ID_PATTERN, STATE_NAMES, decode_job_request
from comfreywind.platform.wire import HEADER_DEADLINE
from comfreywind.scheduling.rules_follower import RulesFollower
from comfreywind.scheduling.term_keeper import TermKeeper
from comfreywind.supervision import note_unexpected

BODY_LIMIT_BYTES = 262_144
# A body that is too large is read up to here, so that the caller gets the reply.
DISCARD_LIMIT_BYTES = 1_048_576
# Python raises an error for numbers of some thousand digits.
NUMBER_DIGITS = 12
RETRY_AFTER_S = 1
BEARER = 'bearer '
MS_PER_S = 1000
METHODS = frozenset(('GET', 'POST', 'DELETE'))
CHANGING_METHODS = frozenset(('POST', 'DELETE'))
# After any other reply a caller may take it that the job was not submitted or cancelled.
STATUSES_WITH_EFFECT = frozenset((200, 504))
DEFAULT_DEADLINE_S = 3.0
# Subtracted from the caller's deadline, so that the reply reaches the caller in time.
REPLY_MARGIN_S = 0.1

log = logging.getLogger('comfreywind.intake')


class Reply(Exception):  # noqa: N818 (not an error)
    """The reply to a call; raised, it ends the handling of the call at once."""

    def __init__(
        self, status: int, document: dict[str, object], retry_after_s: int = RETRY_AFTER_S
    ) -> None:
        """Set the status and the JSON document; a refusal tells when to call again."""
        super().__init__(status)
        self.status = status
        self.document = document
        self.retry_after_s = retry_after_s


class JobApp:
    """ASGI app that accepts jobs, reports their states and cancels them.

    `closing` is set when the node shuts down; replies then ask callers to close their connection.
    """

    def __init__(
        self,
        rules: RulesFollower,
        store: JobStore,
        keeper: TermKeeper,
        clock: Clock,
        metrics: Metrics,
        relay: PeerRelay | None = None,
        gate: ScarcityGate | None = None,
        parsed: ParsedBytes | None = None,
    ) -> None:
        """Use the rules, the store of jobs and the keeper of the term that the node shares.

        Without a gate, no job is refused for scarcity.
        Without a relay, calls are refused while the store is out of reach. The keeper of the term
        goes on calling the store, so that the node notices its return.
        """
        self._metrics = metrics
        self._relay = relay
        self._gate = gate
        self._parsed = parsed or ParsedBytes()
        self._rules = rules
        self._store = store
        self._keeper = keeper
        self._clock = clock
        self.closing = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        headers = dict(scope['headers'])
        reply_by_s = self._clock.read_monotonic_s() + _read_deadline_s(headers)
        refusal = self._refuse_early(scope['method'], scope['path'], headers)
        try:
            body = await _read_call_body(scope['method'], headers, receive, refusal is not None)
        except BodyIncompleteError:
            return
        except BodyTooLargeError as error:
            await send_json(send, 413, {'error': str(error)})
            return
        started_s = self._clock.read_monotonic_s()
        call = CallerCall(scope['method'], scope['path'], headers, body, reply_by_s)
        reply = refusal or await self._serve(call)
        self._record_call(scope['method'], reply.status, started_s)
        # A caller that keeps its connection open would go on calling the node that shuts down.
        extra = [(b'connection', b'close')] if self.closing else []
        if reply.status in (429, 503):
            extra.append((b'retry-after', str(reply.retry_after_s).encode()))
        await send_json(send, reply.status, reply.document, extra)

    def _refuse_early(self, method: str, path: str, headers: dict[bytes, bytes]) -> Reply | None:
        """Return the refusal of a call that is certain before its body is read, or None."""
        if not self._is_store_reachable():
            return None
        try:
            self._check_call(method, path, headers)
        except Reply as reply:
            return reply
        return None

    def _record_call(self, method: str, status: int, started_s: float) -> None:
        # Callers choose the method. Others than those served share one metric name, so that callers
        # can't create any number of metrics.
        name = method if method in METHODS else 'other'
        duration_s = self._clock.read_monotonic_s() - started_s
        self._metrics.record_duration(f'calls.{name}', duration_s)
        self._metrics.count(f'calls.{name}.{status}')

    async def _serve(self, call: CallerCall) -> Reply:
        with trio.move_on_after(call.reply_by_s - self._clock.read_monotonic_s()):
            try:
                return await self._serve_in_time(call)
            except Exception as error:
                # The call may have had an effect before the error.
                note_unexpected('calls', error, self._metrics)
                return _UNKNOWN_OUTCOME
        log.info(
            '%s %s: replied 504: not finished at the deadline of the caller; waited for: %s',
            call.method,
            call.path,
            call.trace.describe(self._clock.read_monotonic_s()),
        )
        return _UNKNOWN_OUTCOME

    async def _serve_in_time(self, call: CallerCall) -> Reply:
        if self._is_store_reachable():
            return await self._serve_here(call)
        return await self._hand_over(call, Reply(503, {'error': 'the store is out of reach'}))

    async def _serve_here(self, call: CallerCall) -> Reply:
        call.trace.begin('the store', self._clock.read_monotonic_s())
        try:
            return await self._route(call.method, call.path, call.headers, call.body)
        except Reply as reply:
            return reply
        except (RowFormatError, ManyPartsError, ParsedBytesError) as error:
            return _reply_error(call, error)
        except StoreUnavailableError as error:
            own_reply = _reply_error(call, error)
        return await self._hand_over(call, own_reply)

    async def _hand_over(self, call: CallerCall, own_reply: Reply) -> Reply:
        """Return the reply of a node that serves the call, or the own one if there is none.

        A refusal by that node tells nothing of this node's own attempt, or of the attempt of a node
        that gave no reply. If one of these may have stored the job, the outcome stays unknown.
        """
        if self._relay is None:
            return own_reply
        outcome = await self._relay.forward(call)
        may_have_effect = outcome.may_have_effect or own_reply is _UNKNOWN_OUTCOME
        reply = own_reply if outcome.reply is None else _read_relayed(call, outcome.reply)
        if may_have_effect and _is_refusal(call, reply):
            log.info(
                '%s %s: replied 504 instead of %d, as an earlier attempt may have had an effect',
                call.method,
                call.path,
                reply.status,
            )
            return _UNKNOWN_OUTCOME
        return reply

    def _is_store_reachable(self) -> bool:
        return self._store.reachable and self._rules.is_fresh()

    async def _route(
        self, method: str, path: str, headers: dict[bytes, bytes], body: bytes
    ) -> Reply:
        queue, team, job_id = self._check_call(method, path, headers)
        if not job_id:
            return self._count_pending(queue)
        if method == 'POST':
            permit = partial(self._is_authorized, path, headers, team)
            with self._parsed.hold(body):
                return await self._accept(job_id, team, queue, body, permit)
        endpoint = self._get_state if method == 'GET' else self._cancel
        return await endpoint(job_id, team, queue)

    def _check_call(
        self, method: str, path: str, headers: dict[bytes, bytes]
    ) -> tuple[Queue, str, str]:
        """Return queue, team and job id of a call; raise a Reply that refuses it.

        The job id is empty for the number of pending jobs.
        """
        queue, team = self._authorize(path, headers)
        job_id = path[len(queue.prefix) :]
        asks_pending = method == 'GET' and not job_id
        if not asks_pending and not JOB_ID_PATTERN.fullmatch(job_id):
            raise Reply(400, {'error': 'a job id has 16 hexadecimal digits'})
        if method not in METHODS:
            raise Reply(405, {'error': 'GET, POST and DELETE are served'})
        return queue, team, job_id

    def _count_pending(self, queue: Queue) -> Reply:
        pending = self._keeper.read_pending()
        if pending is None:
            return Reply(503, {'error': 'the jobs that wait have not been counted lately'})
        return Reply(200, {'pending': pending.get(queue.name, 0)})

    def _authorize(self, path: str, headers: dict[bytes, bytes]) -> tuple[Queue, str]:
        """Return the queue that a path belongs to and the team of the caller.

        Raises a Reply that refuses the call when the rules may be out of date, the queue does not
        exist or the key is unknown.
        """
        rules = self._rules.rules
        if rules is None or not self._rules.is_fresh():
            raise Reply(503, {'error': 'this node does not know the rules in force'})
        queue = rules.find_queue(headers.get(b'host', b'').decode('latin-1'), path)
        if queue is None:
            raise Reply(404, {'error': 'no such queue'})
        team = _authenticate(rules, queue, headers)
        if team is None:
            raise Reply(401, {'error': 'unknown key'})
        return queue, team

    def _is_authorized(self, path: str, headers: dict[bytes, bytes], team: str) -> bool:
        """Return whether the current rules still authorize a call that was made for the team."""
        try:
            return self._authorize(path, headers)[1] == team
        except Reply:
            return False

    async def _accept(
        self, job_id: str, team: str, queue: Queue, body: bytes, permit: Permit
    ) -> Reply:
        accepted_ms = int(self._clock.read_utc().timestamp() * MS_PER_S)
        try:
            job = decode_job_request(
                body, job_id, team, queue, accepted_ms, self._store.row_limit_bytes
            )
        except JobRequestError as error:
            return Reply(400, {'error': str(error)})
        retry_after_s = None if self._gate is None else await self._gate.check(job)
        if retry_after_s is not None:
            return Reply(429, {'error': 'the pool has too much work of this team'}, retry_after_s)
        try:
            is_new = await self._store.accept(job, permit)
        except JobIdTakenError as error:
            return Reply(409, {'error': str(error)})
        if self._gate is not None and is_new:
            self._gate.record_accepted(job)
        log.info(
            'job %s: %s, team %r, queue %s',
            job_id,
            'accepted' if is_new else 'submitted again, already stored',
            team,
            queue.name,
        )
        return Reply(200, {'state': STATE_NAMES[JobState.QUEUED]} if is_new else {})

    async def _get_state(self, job_id: str, team: str, queue: Queue) -> Reply:
        state = await self._store.read_state(job_id, team, queue)
        if state is None:
            return Reply(410, {'error': 'no such job'})
        return Reply(200, {'state': STATE_NAMES[state]})

    async def _cancel(self, job_id: str, team: str, queue: Queue) -> Reply:
        state = await self._store.cancel(job_id, team, queue)
        if state is None:
            return Reply(410, {'error': 'no such job'})
        log.info('job %s: cancellation requested, state is now %s', job_id, state)
        return Reply(200, {'state': STATE_NAMES[state]})


_UNKNOWN_OUTCOME = Reply(504, {'error': 'the outcome is not known'})


def _read_relayed(call: CallerCall, reply: HttpReply) -> Reply:
    """Return the reply of another node; one that can't be read tells nothing of the outcome."""
    try:
        return Reply(reply.status, dict(reply.read_json()), _read_retry_after_s(reply))
    except (TypeError, ValueError) as error:
        log.warning('%s %s: relayed reply unreadable: %r', call.method, call.path, error)
        return _UNKNOWN_OUTCOME


def _read_retry_after_s(reply: HttpReply) -> int:
    text = reply.find_header(b'retry-after')
    return int(text) if text.isdigit() else RETRY_AFTER_S


def _is_refusal(call: CallerCall, reply: Reply) -> bool:
    """Return whether the reply tells the caller that a call which changes jobs has no effect."""
    return call.method in CHANGING_METHODS and reply.status not in STATUSES_WITH_EFFECT


def _reply_error(call: CallerCall, error: Exception) -> Reply:
    reply = _make_error_reply(error)
    log.info('%s %s: status %d: %s', call.method, call.path, reply.status, error)
    return reply


@singledispatch
def _make_error_reply(error: Exception) -> Reply:
    raise TypeError(f'no reply is defined for the error {error!r}')


@_make_error_reply.register
def _reply_unknown_outcome(error: StoreUnavailableError) -> Reply:
    return _UNKNOWN_OUTCOME


@_make_error_reply.register
def _reply_refused(error: StoreRefusedError) -> Reply:
    return Reply(503, {'error': 'the store refuses calls of this node'})


@_make_error_reply.register
def _reply_many_parts(error: ManyPartsError) -> Reply:
    return Reply(413, {'error': str(error)})


@_make_error_reply.register
def _reply_parsing_full(error: ParsedBytesError) -> Reply:
    return Reply(503, {'error': str(error)})


@_make_error_reply.register
def _reply_unreadable(error: RowFormatError) -> Reply:
    return Reply(500, {'error': "the stored state of the job can't be read"})


async def _read_call_body(
    method: str, headers: dict[bytes, bytes], receive: Receive, refused: bool
) -> bytes:
    """Return the body of a call that submits a job; that of another call is read and dropped.

    Raises as `read_body` does, at once if the caller announces too many bytes.
    """
    if (_read_number(headers, b'content-length') or 0) > DISCARD_LIMIT_BYTES:
        raise BodyTooLargeError(f'the body is larger than {BODY_LIMIT_BYTES} bytes')
    read = read_body if method == 'POST' and not refused else discard_body
    try:
        return await read(receive, BODY_LIMIT_BYTES)
    except BodyTooLargeError:
        # The reply would be lost if the connection were closed while the caller is sending.
        await discard_body(receive, DISCARD_LIMIT_BYTES)
        raise


def _read_number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    text = headers.get(name, b'')
    return int(text) if text.isdigit() and len(text) <= NUMBER_DIGITS else None


def _read_deadline_s(headers: dict[bytes, bytes]) -> float:
    deadline_ms = _read_number(headers, HEADER_DEADLINE)
    deadline_s = DEFAULT_DEADLINE_S if deadline_ms is None else deadline_ms / MS_PER_S
    return max(deadline_s - REPLY_MARGIN_S, REPLY_MARGIN_S)


def _authenticate(rules: JobRules, queue: Queue, headers: dict[bytes, bytes]) -> str | None:
    """Return the team of the caller's key, or None when the key is missing or unknown.

    On a queue that is open to all, the team of such a caller is the empty name instead of None.
    """
    authorization = headers.get(b'authorization', b'').decode('latin-1')
    key = authorization[len(BEARER) :] if authorization.lower().startswith(BEARER) else ''
    team = rules.teams_by_key.get(key)
    if team is None and queue.open_to_all:
        return ''
    return team
