"""Counts the results of this process in buckets of a minute and of an hour."""

from datetime import datetime, timedelta

from comfreywind.clock import Clock
from comfreywind.report.result_bucket import ResultBucket

MINUTE_S = 60
HOUR_S = 3600
KEPT_MINUTES = timedelta(hours=7)
KEPT_HOURS = timedelta(days=31)


class ResultRecorder:
    """Keeps the minutes of the last 7 hours and the hours of the last 31 days."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._minutes: dict[datetime, ResultBucket] = {}
        self._hours: dict[datetime, ResultBucket] = {}

    def add(self, queue: str, team: str, result: str) -> None:
        """Count one result now."""
        now = self._clock.read_utc()
        minute_start = now.replace(second=0, microsecond=0)
        hour_start = minute_start.replace(minute=0)
        _find_bucket(self._minutes, minute_start, MINUTE_S).add(queue, team, result)
        _find_bucket(self._hours, hour_start, HOUR_S).add(queue, team, result)

    def list_minutes(self) -> list[ResultBucket]:
        """Return the kept minutes, oldest first, and drop older ones."""
        return _list_kept(self._minutes, self._clock.read_utc() - KEPT_MINUTES)

    def list_hours(self) -> list[ResultBucket]:
        """Return the kept hours, oldest first, and drop older ones."""
        return _list_kept(self._hours, self._clock.read_utc() - KEPT_HOURS)


def _find_bucket(
    buckets: dict[datetime, ResultBucket], start: datetime, span_s: int
) -> ResultBucket:
    bucket = buckets.get(start)
    if bucket is None:
        bucket = ResultBucket(start, span_s)
        buckets[start] = bucket
    return bucket


def _list_kept(buckets: dict[datetime, ResultBucket], oldest: datetime) -> list[ResultBucket]:
    expired = [start for start in buckets if start < oldest]
    for start in expired:
        buckets.pop(start)
    return sorted(buckets.values(), key=lambda bucket: bucket.start)
