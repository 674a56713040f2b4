"""Outlier ejection: decides which failing targets of a pool get no work for a time."""

from collections.abc import Collection
from dataclasses import dataclass, replace

CONSECUTIVE_FAILURES = 5
FAILURE_RATIO = 0.5
MIN_RATIO_REQUESTS = 10
RATIO_WINDOW_S = 10.0
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
MAX_EJECTED_RATIO = 0.3
FAILURE_LOAD_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """Recent results of one incarnation of a target; times are monotonic, in seconds.

    `ejections` is the number of ejections since the last success; the length of the next ejection
    depends on it. After `ejected_until_s` the target is on probation until a request succeeds.
    """

    incarnation: int
    consecutive_failures: int = 0
    window_start_s: float = 0
    window_requests: int = 0
    window_failures: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    recent_failures_s: tuple[float, ...] = ()


def record_success(record: TargetRecord, now_s: float) -> TargetRecord:
    """Return the record with one more success.

    A success ends a probation. It does not end an ejection, since the request may have been sent
    before that began.
    """
    counted = _count_request(record, now_s, failures=0)
    if record.ejected_until_s is not None and now_s < record.ejected_until_s:
        return counted
    return replace(counted, consecutive_failures=0, ejections=0, ejected_until_s=None)


def record_failure(record: TargetRecord, now_s: float) -> TargetRecord:
    """Return the record with one more failure; on probation, this starts a longer ejection."""
    counted = _count_request(record, now_s, failures=1)
    recent = [at_s for at_s in record.recent_failures_s if now_s - at_s < FAILURE_LOAD_WINDOW_S]
    failed = replace(
        counted,
        consecutive_failures=record.consecutive_failures + 1,
        recent_failures_s=(*recent, now_s),
    )
    on_probation = record.ejected_until_s is not None and now_s >= record.ejected_until_s
    return eject(failed, now_s) if on_probation else failed


def is_outlier(record: TargetRecord) -> bool:
    """Return whether the target fails often enough to be ejected."""
    if record.consecutive_failures >= CONSECUTIVE_FAILURES:
        return True
    if record.window_requests < MIN_RATIO_REQUESTS:
        return False
    return record.window_failures > FAILURE_RATIO * record.window_requests


def may_eject(ejected_count: int, pool_size: int) -> bool:
    """Return whether one more target of the pool may be ejected.

    Without the cap, a cause that all targets share, such as jobs that always fail, would empty the
    pool.
    """
    return ejected_count + 1 <= MAX_EJECTED_RATIO * pool_size


def eject(record: TargetRecord, now_s: float) -> TargetRecord:
    """Return the record with the target ejected; the time doubles with each ejection in a row."""
    duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**record.ejections)
    return replace(
        record,
        ejections=record.ejections + 1,
        ejected_until_s=now_s + duration_s,
        window_requests=0,
        window_failures=0,
    )


def admits_work(record: TargetRecord, now_s: float, idempotent: bool, probing: bool) -> bool:
    """Return whether the target may get a request.

    On probation it gets one request at a time (`probing` means that one is running), and only an
    idempotent one. After BASE_EJECTION_S on probation any request is allowed, because a pool may
    have no idempotent work at all.
    """
    if record.ejected_until_s is None:
        return True
    if now_s < record.ejected_until_s or probing:
        return False
    return idempotent or now_s >= record.ejected_until_s + BASE_EJECTION_S


def compute_failure_load(record: TargetRecord, now_s: float) -> int:
    """Return the number of recent failures, which is added to the target's load.

    Without it, a target that fails fast would look idle and attract more work.
    """
    return _count_recent_failures(record.recent_failures_s, now_s)


def _count_recent_failures(failures_s: Collection[float], now_s: float) -> int:
    return sum(1 for at_s in failures_s if now_s - at_s < FAILURE_LOAD_WINDOW_S)


def _count_request(record: TargetRecord, now_s: float, failures: int) -> TargetRecord:
    if now_s - record.window_start_s >= RATIO_WINDOW_S:
        return replace(record, window_start_s=now_s, window_requests=1, window_failures=failures)
    return replace(
        record,
        window_requests=record.window_requests + 1,
        window_failures=record.window_failures + failures,
    )
