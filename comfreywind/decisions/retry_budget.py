"""Retry budget: limits retries to a fraction of the recent requests."""

from dataclasses import dataclass, replace

WINDOW_S = 10
MAX_RETRIES_RATIO = 0.1
MIN_RETRIES_PER_S = 1


@dataclass(frozen=True, slots=True)
class SecondCounts:
    """Numbers of requests and retries that started within one second."""

    second: int
    requests: int = 0
    retries: int = 0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The counts of the last WINDOW_S seconds, oldest first; idle seconds are left out."""

    seconds: tuple[SecondCounts, ...] = ()


def record_request(budget: RetryBudget, now_s: float) -> RetryBudget:
    """Return the budget with one more request."""
    current = _get_current_second(budget, now_s)
    return _with_current_second(budget, replace(current, requests=current.requests + 1))


def record_retry(budget: RetryBudget, now_s: float) -> RetryBudget:
    """Return the budget with one more retry."""
    current = _get_current_second(budget, now_s)
    return _with_current_second(budget, replace(current, retries=current.retries + 1))


def allows_retry(budget: RetryBudget, now_s: float) -> bool:
    """Return whether one more retry stays within the budget of the last WINDOW_S seconds."""
    oldest = int(now_s) - WINDOW_S
    recent = [entry for entry in budget.seconds if entry.second > oldest]
    requests = sum(entry.requests for entry in recent)
    retries = sum(entry.retries for entry in recent)
    return retries < max(MAX_RETRIES_RATIO * requests, MIN_RETRIES_PER_S * WINDOW_S)


def _get_current_second(budget: RetryBudget, now_s: float) -> SecondCounts:
    second = int(now_s)
    if budget.seconds and budget.seconds[-1].second == second:
        return budget.seconds[-1]
    return SecondCounts(second)


def _with_current_second(budget: RetryBudget, current: SecondCounts) -> RetryBudget:
    if budget.seconds and budget.seconds[-1].second == current.second:
        return RetryBudget((*budget.seconds[:-1], current))
    oldest = current.second - WINDOW_S
    remaining = tuple(entry for entry in budget.seconds if entry.second > oldest)
    return RetryBudget((*remaining, current))
