"""Decides whether a request is sent again after a failed attempt."""

import enum
from dataclasses import dataclass

from comfreywind.decisions.attempt import Attempt, AttemptEnd, get_outcome
from comfreywind.decisions.refusal import Outcome

MAX_FAILURES = 3
# With less time than this before the deadline, another attempt would not finish.
MIN_ATTEMPT_S = 0.005


class RetryDecision(enum.Enum):
    """What to do after an attempt."""

    FINISH = enum.auto()
    QUEUE_AGAIN = enum.auto()
    RETRY_OTHER_TARGET = enum.auto()
    RETRY_SAME_TARGET = enum.auto()


@dataclass(frozen=True, slots=True)
class RetryContext:
    """What the decision depends on besides the attempt.

    `failures` is the number of failed attempts of the request, this one included. `budget_left`
    tells whether the retry budget allows one more retry.
    """

    idempotent: bool
    failures: int
    time_left_s: float
    other_target_exists: bool
    budget_left: bool


def decide_retry(attempt: Attempt, context: RetryContext) -> RetryDecision:
    """Return what to do after the attempt.

    A request that has certainly not run may be repeated whatever its method; any other only if it
    is idempotent. A request that a busy target has refused goes back to the front of its queue and
    is not charged to the retry budget: it costs the target nothing, and the dispatcher holds it
    back until some target has free capacity.
    """
    if attempt.end is AttemptEnd.ANSWERED or context.time_left_s < MIN_ATTEMPT_S:
        return RetryDecision.FINISH
    if attempt.end is AttemptEnd.REFUSED:
        return RetryDecision.QUEUE_AGAIN
    is_repeatable = context.idempotent or get_outcome(attempt) is Outcome.NOT_RUN
    if not is_repeatable or not context.budget_left or context.failures >= MAX_FAILURES:
        return RetryDecision.FINISH
    return _decide_retry_target(attempt, context.other_target_exists)


def _decide_retry_target(attempt: Attempt, other_target_exists: bool) -> RetryDecision:
    if other_target_exists:
        return RetryDecision.RETRY_OTHER_TARGET
    if attempt.end is AttemptEnd.BROKEN and attempt.reused and not attempt.byte_received:
        # The target may have closed the idle connection just as the request was sent.
        return RetryDecision.RETRY_SAME_TARGET
    return RetryDecision.FINISH
