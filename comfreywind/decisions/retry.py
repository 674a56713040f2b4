"""Decides whether a request that has failed at a target is sent again."""

import enum
from dataclasses import dataclass

from comfreywind.decisions.attempt import Attempt, AttemptEnd, find_outcome
from comfreywind.decisions.refusal import Outcome

TARGETS_LIMIT = 3
REFUSALS_LIMIT = 8
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.5
# Less time than this is not enough for another attempt, so the caller gets its answer now.
SHORTEST_ATTEMPT_S = 0.005


class RetryDecision(enum.Enum):
    """What to do after an attempt."""

    FINISH = enum.auto()
    RETRY_OTHER_TARGET = enum.auto()
    RETRY_SAME_TARGET = enum.auto()
    RETRY_AFTER_PAUSE = enum.auto()


@dataclass(frozen=True, slots=True)
class RetryContext:
    """What the decision depends on besides the attempt itself.

    `failed_targets` includes the target of the attempt when it failed; `refusals` counts not-run
    refusals by targets so far.
    """

    idempotent: bool
    failed_targets: int
    refusals: int
    time_left_s: float
    other_target_exists: bool
    budget_left: bool


def decide_retry(attempt: Attempt, context: RetryContext) -> RetryDecision:
    """Return what to do after the attempt.

    A request that has certainly not run may be repeated for every method; any other only when it
    is idempotent. Refusals by a busy target are not charged to the retry budget, since they cost
    the target nothing; they are limited in number and spaced by growing pauses instead.
    """
    if attempt.end is AttemptEnd.ANSWERED or context.time_left_s < SHORTEST_ATTEMPT_S:
        return RetryDecision.FINISH
    if attempt.end is AttemptEnd.REFUSED:
        return _decide_after_refusal(context)
    return _decide_after_failure(attempt, context)


def find_pause_s(refusals: int) -> float:
    """Return how long to wait after that many refusals before the next attempt."""
    return min(LONGEST_PAUSE_S, FIRST_PAUSE_S * float(2 ** max(0, refusals - 1)))


def _decide_after_failure(attempt: Attempt, context: RetryContext) -> RetryDecision:
    may_repeat = context.idempotent or find_outcome(attempt) is Outcome.NOT_RUN
    if not may_repeat or not context.budget_left or context.failed_targets >= TARGETS_LIMIT:
        return RetryDecision.FINISH
    if context.other_target_exists:
        return RetryDecision.RETRY_OTHER_TARGET
    if attempt.end is AttemptEnd.BROKEN and attempt.reused and not attempt.byte_received:
        # The target may only have closed an idle connection at that moment.
        return RetryDecision.RETRY_SAME_TARGET
    return RetryDecision.FINISH


def _decide_after_refusal(context: RetryContext) -> RetryDecision:
    if context.refusals >= REFUSALS_LIMIT:
        return RetryDecision.FINISH
    if context.other_target_exists and context.refusals == 1:
        return RetryDecision.RETRY_OTHER_TARGET
    if find_pause_s(context.refusals) >= context.time_left_s:
        return RetryDecision.FINISH
    return RetryDecision.RETRY_AFTER_PAUSE
