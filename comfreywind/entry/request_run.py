"""State of a request across its attempts."""

from comfreywind.bundle.rules import PoolRules, QueueRules
from comfreywind.decisions.attempt import Attempt, AttemptEnd, get_outcome
from comfreywind.decisions.refusal import Outcome, Refusal, RefusalReason
from comfreywind.entry.caller_request import CallerRequest
from comfreywind.entry.placement import Placement
from comfreywind.entry.target_call import TargetCall
from comfreywind.entry.ticket import Ticket

RETRY_AFTER_S = 1.0


class RequestRun:
    """Collects the results of the attempts of a request."""

    def __init__(
        self, request: CallerRequest, queue: QueueRules, pool: PoolRules, has_claim: bool
    ) -> None:
        """Start before the first attempt."""
        self.request = request
        self.queue = queue
        self.pool = pool
        self.failures = 0
        self.failed_targets: frozenset[str] = frozenset()
        self.refused_at: Placement | None = None
        self.call: TargetCall | None = None
        self.answered = False
        self._has_claim = has_claim
        self._may_have_run = False

    def make_ticket(self) -> Ticket:
        """Return the ticket for the next attempt."""
        return Ticket(
            self.request.request_id,
            self.queue,
            self.request.team,
            self.request.deadline_s,
            self.failed_targets,
            self.request.idempotent,
            at_front=self.failures > 0,
        )

    def record(self, attempt: Attempt, placement: Placement) -> None:
        """Record the result of an attempt at the target of the placement."""
        self.call = None
        self.refused_at = None
        if get_outcome(attempt) is not Outcome.NOT_RUN:
            self._may_have_run = True
        if attempt.end is AttemptEnd.REFUSED:
            self.refused_at = placement
        elif attempt.end is not AttemptEnd.ANSWERED:
            self.failures += 1
            self.failed_targets |= {placement.target.name}

    def get_outcome(self) -> Outcome:
        """Return the outcome of the request as far as it is known."""
        if self.answered:
            return Outcome.ANSWERED
        if self.call is not None and self.call.make_attempt(AttemptEnd.BROKEN).byte_sent:
            return Outcome.UNKNOWN
        return Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN

    def make_refusal(self, attempt: Attempt, target_name: str) -> Refusal:
        """Return the refusal that the caller gets after the last attempt."""
        outcome = self.get_outcome()
        reason, detail = _get_reason_and_detail(attempt, outcome)
        return Refusal(reason, f'{target_name} {detail}', outcome, self._get_retry_after_s(outcome))

    def adjust_refusal(self, refusal: Refusal) -> Refusal:
        """Return a refusal by the queue, with the outcome corrected for earlier attempts."""
        if self.get_outcome() is Outcome.NOT_RUN:
            return refusal
        detail = f'an attempt failed and no other followed: {refusal.detail}'
        return Refusal(
            RefusalReason.TARGET_FAILED,
            detail,
            Outcome.UNKNOWN,
            self._get_retry_after_s(Outcome.UNKNOWN),
        )

    def _get_retry_after_s(self, outcome: Outcome) -> float | None:
        """Return the delay before a retry, or None if a retry could run the request twice."""
        if outcome is Outcome.NOT_RUN or self.request.idempotent or self._has_claim:
            return RETRY_AFTER_S
        return None


def _get_reason_and_detail(attempt: Attempt, outcome: Outcome) -> tuple[RefusalReason, str]:
    if attempt.end is AttemptEnd.REFUSED and outcome is Outcome.NOT_RUN:
        return RefusalReason.NO_TARGET, 'and others have no free slot'
    if attempt.end is AttemptEnd.TIMED_OUT and outcome is Outcome.NOT_RUN:
        return RefusalReason.NO_TARGET, 'had no connection free in time'
    if attempt.end is AttemptEnd.TIMED_OUT:
        return RefusalReason.TARGET_TIMEOUT, 'did not answer in time'
    if attempt.end is AttemptEnd.UNREACHABLE:
        return RefusalReason.TARGET_FAILED, "can't be reached"
    return RefusalReason.TARGET_FAILED, 'broke off the exchange'
