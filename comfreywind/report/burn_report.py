"""Computes the burn of error budgets from result buckets."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from comfreywind.bundle.rules import Objective
from comfreywind.report.burn_window import BUDGET_PERIOD, BURN_WINDOWS
from comfreywind.report.result_bucket import ResultBucket, ServiceKey
from comfreywind.report.service_result import ServiceResult

LONGEST_MINUTE_WINDOW = timedelta(hours=6)
ALL_TEAMS = '(all teams)'


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rates of a pair of windows; at rate 1 the budget lasts exactly for its period."""

    name: str
    long_burn_ratio: float
    short_burn_ratio: float
    firing: bool


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """Error budget and burn rates of a queue, for one team or all teams."""

    queue: str
    team: str
    success_ratio: float
    requests_count: int
    bad_by_cause: dict[str, int]
    budget_left_ratio: float
    windows: tuple[WindowBurn, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn of all services at the time `at`."""

    at: datetime
    services: tuple[ServiceBurn, ...]


def make_burn_report(
    at: datetime,
    objectives: Iterable[Objective],
    minutes: list[ResultBucket],
    hours: list[ResultBucket],
) -> BurnReport:
    """Return the burn of every queue with an objective, in total and by team."""
    services: list[ServiceBurn] = []
    for objective in objectives:
        keys = sorted(
            {key for bucket in hours for key in bucket.counts if key[0] == objective.queue}
        )
        services.append(
            _compute_service_burn(at, objective, (objective.queue, ALL_TEAMS), minutes, hours)
        )
        services.extend(_compute_service_burn(at, objective, key, minutes, hours) for key in keys)
    return BurnReport(at, tuple(services))


def _compute_service_burn(
    at: datetime,
    objective: Objective,
    key: ServiceKey,
    minutes: list[ResultBucket],
    hours: list[ResultBucket],
) -> ServiceBurn:
    period_counts = _sum_counts(at, BUDGET_PERIOD, key, minutes, hours)
    allowed_ratio = 1 - objective.success_ratio
    windows = []
    for window in BURN_WINDOWS:
        long_burn = _compute_burn_rate(
            _sum_counts(at, window.long, key, minutes, hours), allowed_ratio
        )
        short_burn = _compute_burn_rate(
            _sum_counts(at, window.short, key, minutes, hours), allowed_ratio
        )
        firing = min(long_burn, short_burn) >= window.threshold_ratio
        windows.append(WindowBurn(window.name, long_burn, short_burn, firing))
    bad_by_cause = {
        cause: count
        for cause, count in period_counts.most_common()
        if cause != ServiceResult.GOOD.value
    }
    return ServiceBurn(
        queue=key[0],
        team=key[1],
        success_ratio=objective.success_ratio,
        requests_count=period_counts.total(),
        bad_by_cause=bad_by_cause,
        budget_left_ratio=1 - _compute_burn_rate(period_counts, allowed_ratio),
        windows=tuple(windows),
    )


def _sum_counts(
    at: datetime,
    window: timedelta,
    key: ServiceKey,
    minutes: list[ResultBucket],
    hours: list[ResultBucket],
) -> Counter[str]:
    """Return the result counts in the window before `at`.

    Windows above `LONGEST_MINUTE_WINDOW` are summed from the buckets of an hour.
    """
    buckets = minutes if window <= LONGEST_MINUTE_WINDOW else hours
    total: Counter[str] = Counter()
    for bucket in buckets:
        if at - window < bucket.start + timedelta(seconds=bucket.span_s) and bucket.start <= at:
            total.update(_select_counts(bucket, key))
    return total


def _select_counts(bucket: ResultBucket, key: ServiceKey) -> Counter[str]:
    queue, team = key
    if team != ALL_TEAMS:
        return bucket.counts.get(key, Counter())
    total: Counter[str] = Counter()
    for (bucket_queue, _), counts in bucket.counts.items():
        if bucket_queue == queue:
            total.update(counts)
    return total


def _compute_burn_rate(counts: Counter[str], allowed_ratio: float) -> float:
    total = counts.total()
    if not total:
        return 0
    bad_ratio = 1 - counts[ServiceResult.GOOD.value] / total
    if not bad_ratio:
        return 0
    return bad_ratio / allowed_ratio if allowed_ratio else float('inf')
