"""Limits retries to a part of the recent requests."""

from dataclasses import dataclass, replace

WINDOW_S = 10
RETRIES_RATIO = 0.1
RETRIES_PER_S_AT_LEAST = 1


@dataclass(frozen=True, slots=True)
class BudgetSecond:
    """Requests and retries that began within one second."""

    second: int
    requests: int = 0
    retries: int = 0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The counts of the last seconds, oldest first."""

    seconds: tuple[BudgetSecond, ...] = ()


def record_request(budget: RetryBudget, now_s: float) -> RetryBudget:
    """Count a new request."""
    newest = _find_newest(budget, now_s)
    return _put_newest(budget, replace(newest, requests=newest.requests + 1))


def record_retry(budget: RetryBudget, now_s: float) -> RetryBudget:
    """Count a retry."""
    newest = _find_newest(budget, now_s)
    return _put_newest(budget, replace(newest, retries=newest.retries + 1))


def allows_retry(budget: RetryBudget, now_s: float) -> bool:
    """Return whether one more retry stays within the budget of the last seconds."""
    oldest = int(now_s) - WINDOW_S
    recent = [entry for entry in budget.seconds if entry.second > oldest]
    requests = sum(entry.requests for entry in recent)
    retries = sum(entry.retries for entry in recent)
    return retries < max(RETRIES_RATIO * requests, RETRIES_PER_S_AT_LEAST * WINDOW_S)


def _find_newest(budget: RetryBudget, now_s: float) -> BudgetSecond:
    second = int(now_s)
    if budget.seconds and budget.seconds[-1].second == second:
        return budget.seconds[-1]
    return BudgetSecond(second)


def _put_newest(budget: RetryBudget, newest: BudgetSecond) -> RetryBudget:
    if budget.seconds and budget.seconds[-1].second == newest.second:
        return RetryBudget((*budget.seconds[:-1], newest))
    oldest = newest.second - WINDOW_S
    kept = tuple(entry for entry in budget.seconds if entry.second > oldest)
    return RetryBudget((*kept, newest))
