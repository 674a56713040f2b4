"""ASGI middleware that records metrics and results of requests."""

from comfreywind.clock import Clock
from comfreywind.entry.header_rules import find_header
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.scope_keys import SCOPE_QUEUE, SCOPE_TEAM
from comfreywind.http.asgi_types import AsgiApp, Message, Receive, Scope, Send
from comfreywind.metrics import Metrics
from comfreywind.report.decision_log import KIND_REQUEST, DecisionLog
from comfreywind.report.request_facts import RequestFacts
from comfreywind.report.result_recorder import ResultRecorder
from comfreywind.report.service_result import classify_request

DEFAULT_LATENCY_LIMIT_S = 5.0
HEADER_REQUEST_ID = b'x-request-id'
HEADER_OUTCOME = b'comfreywind-outcome'
HEADER_REASON = b'comfreywind-reason'


class ObservedApp:
    """Passes requests to an app and records metrics, decisions and burn report results."""

    def __init__(
        self,
        app: AsgiApp,
        rules_view: RulesView,
        recorder: ResultRecorder,
        metrics: Metrics,
        decisions: DecisionLog,
        clock: Clock,
    ) -> None:
        """Use the given components."""
        self._app = app
        self._rules_view = rules_view
        self._recorder = recorder
        self._metrics = metrics
        self._decisions = decisions
        self._clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request and record its result."""
        started_s = self._clock.read_monotonic_s()
        start_message: Message = {}
        complete = False

        async def send_observed(message: Message) -> None:
            nonlocal complete
            if message['type'] == 'http.response.start':
                start_message.update(message)
            await send(message)
            if message['type'] == 'http.response.body' and not message.get('more_body', False):
                complete = True

        try:
            await self._app(scope, receive, send_observed)
        finally:
            if start_message and SCOPE_QUEUE in scope:
                duration_s = self._clock.read_monotonic_s() - started_s
                self._record(_make_facts(scope, start_message, duration_s, complete))

    def _record(self, facts: RequestFacts) -> None:
        result = classify_request(facts, self._get_latency_limit_s(facts.queue))
        self._metrics.count(f'requests.{facts.queue}.{facts.reason or facts.outcome}')
        self._metrics.record_duration(f'request_duration.{facts.queue}', facts.duration_s)
        self._record_request(facts)
        if result is not None:
            self._recorder.add(facts.queue, facts.team, result)

    def _record_request(self, facts: RequestFacts) -> None:
        self._decisions.record(
            KIND_REQUEST,
            f'request/{facts.request_id}',
            facts.reason or facts.outcome,
            queue=facts.queue,
            team=facts.team,
            status=facts.status,
            duration_s=f'{facts.duration_s:.3f}',
            complete=facts.complete,
        )

    def _get_latency_limit_s(self, queue: str) -> float:
        rules = self._rules_view.rules
        for objective in rules.objectives if rules else ():
            if objective.queue == queue:
                return objective.latency_s
        return DEFAULT_LATENCY_LIMIT_S


def _make_facts(scope: Scope, start: Message, duration_s: float, complete: bool) -> RequestFacts:
    headers = start.get('headers', [])
    return RequestFacts(
        request_id=find_header(headers, HEADER_REQUEST_ID),
        queue=scope[SCOPE_QUEUE],
        team=scope.get(SCOPE_TEAM, ''),
        status=start['status'],
        outcome=find_header(headers, HEADER_OUTCOME),
        reason=find_header(headers, HEADER_REASON),
        duration_s=duration_s,
        complete=complete,
    )
