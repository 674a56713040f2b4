"""Client of one target: starts, stops and paces its runs, and extends their lease."""

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

import httpcore
import trio

from comfreywind.errors import CallNotPermittedError, TargetReplacedError, TargetSilentError
from comfreywind.http.client import HttpClient, HttpReply, Permit
from comfreywind.jobs.run_report import ActiveRun, EndedRun, RunOutcome, TargetReport
from comfreywind.jobs.start_answer import StartAnswer
from comfreywind.jobs.start_reply import StartReply
from comfreywind.jobs.task_key import TaskKey, parse_task_key
from comfreywind.platform.store_call import CALL_FAILURES, DECODING_ERRORS
from comfreywind.platform.wire import HEADER_INSTANCE
from comfreywind.settings.address import Address

ORDER_TIMEOUT_S = 0.8
# Added to the longest wait of a hold call, for the network and a slow target.
HOLD_MARGIN_S = 0.8
# Connections for orders. Few, because a new connection costs more than to wait for one in use.
CONNECTION_LIMIT = 4
# A target lists this many ended runs at a time, and the next ones once these are acknowledged.
ENDS_PER_REPORT = 500
MS_PER_S = 1000
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_REPLACED = 421
ANSWERS_BY_STATUS = {
    200: StartAnswer.STARTED,
    400: StartAnswer.INVALID,
    421: StartAnswer.REPLACED,
    429: StartAnswer.UNHEALTHY,
    503: StartAnswer.UNHEALTHY,
}
ANSWERS_BY_REASON = {
    'fence': StartAnswer.FENCED,
    'old': StartAnswer.SUPERSEDED,
    'late': StartAnswer.EXPIRED,
    'room': StartAnswer.NO_ROOM,
    'ticket': StartAnswer.NO_TICKET,
}

log = logging.getLogger('comfreywind.targets')


class TargetClient:
    """Client of the target with one id, whichever of its incarnations replies.

    Every order carries the holder's fence, and the target refuses orders with a fence below the
    highest that it has received since it started. `expires_ms` is on the target's own clock.
    """

    def __init__(
        self,
        target_id: str,
        address: Address,
        max_wait_s: float,
        permit: Callable[[int], bool],
        start_permit: Callable[[int], bool] | None = None,
    ) -> None:
        """Prepare clients of the address; hold calls wait up to `max_wait_s` for an ended run.

        Orders are sent only if `permit` returns True for their fence just before they are sent, and
        starts only if `start_permit` does, which is `permit` unless it is given.
        """
        self._permit = permit
        self._start_permit = start_permit or permit
        self._client = HttpClient(address, ORDER_TIMEOUT_S, CONNECTION_LIMIT)
        self._hold_client = HttpClient(address, max_wait_s + HOLD_MARGIN_S, 1)
        self._headers = [(HEADER_INSTANCE, target_id.encode())]

    async def start(
        self,
        key: TaskKey,
        run_id: int,
        spec: str,
        fence: int,
        expires_ms: int,
        checkpoint: str = '',
        ticket: str = '',
    ) -> StartReply:
        """Order the start of a run under a lease that lasts until `expires_ms` at least.

        The answer is UNKNOWN or DISCONNECTED without a usable reply; the target may still start the run
        then. It is UNREACHABLE if there was no connection on which to send the order.
        """
        order: dict[str, Any] = {
            'task_id': str(key),
            'run_id': run_id,
            'spec': spec,
            'expires_ms': expires_ms,
            'fencing_token': fence,
        }
        order.update(
            {name: text for name, text in (('checkpoint', checkpoint), ('ticket', ticket)) if text}
        )
        permit = _RecordingPermit(partial(self._start_permit, fence))
        try:
            reply = await self._client.call(
                'POST', '/v1/run-start', order, self._headers, permit.ask
            )
        except CallNotPermittedError as error:
            log.info('start of task %s run %d: order not sent: %s', key, run_id, error)
            return StartReply(StartAnswer.EXPIRED)
        except CALL_FAILURES as error:
            answer = _classify_failure(error, permit.granted)
            log.info('start of task %s run %d: no reply, %s: %r', key, run_id, answer, error)
            return StartReply(answer)
        return _decode_start_reply(reply)

    async def stop(self, key: TaskKey, run_id: int, fence: int) -> bool:
        """Order the stop of a run; return whether the target confirmed it."""
        order = {'task_id': str(key), 'run_id': run_id, 'fencing_token': fence}
        return await self._order('/v1/run-stop', order)

    async def pace(self, key: TaskKey, run_id: int, percent: int, fence: int) -> bool:
        """Limit a run to a percentage of its full pace; return whether the target confirmed it."""
        order = {
            'task_id': str(key),
            'run_id': run_id,
            'percent': percent,
            'fencing_token': fence,
        }
        return await self._order('/v1/pace', order)

    async def hold(
        self, fence: int, last_seen: int, expires_ms: int | None, wait_ms: int
    ) -> TargetReport | None:
        """Extend the lease of all runs to `expires_ms` and return the report of the target.

        `last_seen` acknowledges ended runs up to that number; the target drops them from its
        reports. Without `expires_ms` the lease is not extended. The target delays the reply by up
        to `wait_ms` while no run has ended.

        Returns None when the target has received a higher fence, from a later holder. Raises
        TargetSilentError without a usable reply, TargetReplacedError when another incarnation
        replies, and CallNotPermittedError when the lease would be extended but `permit` returns
        False.
        """
        order = {'fencing_token': fence, 'last_seen': last_seen}
        if expires_ms is not None:
            order['expires_ms'] = expires_ms
        if wait_ms:
            order['wait_ms'] = wait_ms
        permit = None if expires_ms is None else partial(self._permit, fence)
        try:
            reply = await self._hold_client.call('POST', '/v1/hold', order, self._headers, permit)
        except CALL_FAILURES as error:
            raise TargetSilentError(f'hold: no reply: {error!r}') from error
        if reply.status == STATUS_REPLACED:
            raise TargetReplacedError('hold: another incarnation of the target replied')
        if reply.status == STATUS_CONFLICT:
            return None
        if reply.status != STATUS_OK:
            raise TargetSilentError(f'hold: status {reply.status}')
        return _decode_report(reply)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
        await self._hold_client.close()

    async def _send(self, path: str, order: dict[str, Any]) -> HttpReply:
        permit = partial(self._permit, order['fencing_token'])
        return await self._client.call('POST', path, order, self._headers, permit)

    async def _order(self, path: str, order: dict[str, Any]) -> bool:
        try:
            reply = await self._send(path, order)
        except CallNotPermittedError as error:
            log.info('%s of task %s: order not sent: %s', path, order['task_id'], error)
            return False
        except CALL_FAILURES as error:
            log.info('%s of task %s: no reply, not confirmed: %r', path, order['task_id'], error)
            return False
        return reply.status == STATUS_OK


class _RecordingPermit:
    """Asks a permit, and remembers whether the call was sent."""

    def __init__(self, permit: Permit) -> None:
        self._permit = permit
        self.granted = False

    def ask(self) -> bool:
        self.granted = self._permit()
        return self.granted


def _classify_failure(error: Exception, sent: bool) -> StartAnswer:
    if not sent:
        return StartAnswer.UNREACHABLE
    late = isinstance(error, (trio.TooSlowError, httpcore.TimeoutException))
    return StartAnswer.UNKNOWN if late else StartAnswer.DISCONNECTED


def _decode_start_reply(reply: HttpReply) -> StartReply:
    fields = _read_start_fields(reply)
    answer = ANSWERS_BY_STATUS.get(reply.status, StartAnswer.UNKNOWN)
    if reply.status == STATUS_CONFLICT:
        answer = ANSWERS_BY_REASON.get(str(fields.get('reason', '')), StartAnswer.UNKNOWN)
    clock_ms, born_ms = fields.get('clock_ms'), fields.get('born')
    return StartReply(
        answer,
        clock_ms if isinstance(clock_ms, int) else None,
        born_ms if isinstance(born_ms, int) else 0,
    )


def _read_start_fields(reply: HttpReply) -> dict[str, Any]:
    if not reply.body:
        return {}
    try:
        document = reply.read_json()
    except ValueError as error:
        log.warning('start: reply with status %d is no JSON: %s', reply.status, error)
        return {}
    return document if isinstance(document, dict) else {}


def _decode_report(reply: HttpReply) -> TargetReport:
    try:
        return _make_report(reply.read_json())
    except DECODING_ERRORS as error:
        raise TargetSilentError(
            f"hold: report of the target can't be decoded: {error!r}"
        ) from error


def _make_report(document: dict[str, Any]) -> TargetReport:
    ended = tuple(_decode_ended(row) for row in document['finished'])
    return TargetReport(
        clock_ms=int(document['clock_ms']),
        incarnation_start_ms=int(document.get('born', 0)),
        active=tuple(_decode_active(row) for row in document['active']),
        ended=ended,
        complete=len(ended) < ENDS_PER_REPORT,
    )


def _decode_active(row: list[Any]) -> ActiveRun:
    metric_value = float(row[4]) if len(row) > 4 else 0
    return ActiveRun(parse_task_key(row[0]), int(row[1]), str(row[2]), int(row[3]), metric_value)


def _decode_ended(row: list[Any]) -> EndedRun:
    return EndedRun(
        int(row[0]), parse_task_key(row[1]), int(row[2]), RunOutcome(row[3]), str(row[4])
    )
