"""Decides whether a request that has failed at a target is sent again."""

import enum
from dataclasses import dataclass

from comfreywind.decisions.attempt import Attempt, AttemptEnd, find_outcome
from comfreywind.decisions.refusal import Outcome

TARGETS_LIMIT = 3
# Less time than this is not enough for another attempt, so the caller gets its answer now.
SHORTEST_ATTEMPT_S = 0.005


class RetryDecision(enum.Enum):
    """What to do after an attempt."""

    FINISH = enum.auto()
    QUEUE_AGAIN = enum.auto()
    RETRY_OTHER_TARGET = enum.auto()
    RETRY_SAME_TARGET = enum.auto()


@dataclass(frozen=True, slots=True)
class RetryContext:
    """What the decision depends on besides the attempt; `failures` includes the attempt."""

    idempotent: bool
    failures: int
    time_left_s: float
    other_target_exists: bool
    budget_left: bool


def decide_retry(attempt: Attempt, context: RetryContext) -> RetryDecision:
    """Return what to do after the attempt.

    A request that has certainly not run may be repeated for every method; any other only when it
    is idempotent. A request that a busy target has refused goes back to the front of its queue and
    is not charged to the retry budget: it costs the target nothing, and the dispatcher holds it
    back until some target has room.
    """
    if attempt.end is AttemptEnd.ANSWERED or context.time_left_s < SHORTEST_ATTEMPT_S:
        return RetryDecision.FINISH
    if attempt.end is AttemptEnd.REFUSED:
        return RetryDecision.QUEUE_AGAIN
    may_repeat = context.idempotent or find_outcome(attempt) is Outcome.NOT_RUN
    if not may_repeat or not context.budget_left or context.failures >= TARGETS_LIMIT:
        return RetryDecision.FINISH
    return _choose_target(attempt, context.other_target_exists)


def _choose_target(attempt: Attempt, other_target_exists: bool) -> RetryDecision:
    if other_target_exists:
        return RetryDecision.RETRY_OTHER_TARGET
    if attempt.end is AttemptEnd.BROKEN and attempt.reused and not attempt.byte_received:
        # The target may only have closed an idle connection at that moment.
        return RetryDecision.RETRY_SAME_TARGET
    return RetryDecision.FINISH
