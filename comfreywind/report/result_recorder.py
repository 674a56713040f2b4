"""Counts the results of this process in buckets of one minute and one hour."""

from datetime import datetime, timedelta

from comfreywind.clock import Clock
from comfreywind.report.result_bucket import ResultBucket

MINUTE_S = 60
HOUR_S = 3600
MINUTE_RETENTION = timedelta(hours=7)
HOUR_RETENTION = timedelta(days=31)


class ResultRecorder:
    """Keeps minute buckets for 7 hours and hour buckets for 31 days."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty recorder."""
        self._clock = clock
        self._minutes: dict[datetime, ResultBucket] = {}
        self._hours: dict[datetime, ResultBucket] = {}

    def add(self, queue: str, team: str, result: str) -> None:
        """Count one result at the current time."""
        now = self._clock.read_utc()
        minute_start = now.replace(second=0, microsecond=0)
        hour_start = minute_start.replace(minute=0)
        _get_or_add_bucket(self._minutes, minute_start, MINUTE_S).add(queue, team, result)
        _get_or_add_bucket(self._hours, hour_start, HOUR_S).add(queue, team, result)

    def list_minutes(self) -> list[ResultBucket]:
        """Delete expired minute buckets and return the others, oldest first."""
        return _prune_and_list(self._minutes, self._clock.read_utc() - MINUTE_RETENTION)

    def list_hours(self) -> list[ResultBucket]:
        """Delete expired hour buckets and return the others, oldest first."""
        return _prune_and_list(self._hours, self._clock.read_utc() - HOUR_RETENTION)


def _get_or_add_bucket(
    buckets: dict[datetime, ResultBucket], start: datetime, span_s: int
) -> ResultBucket:
    bucket = buckets.get(start)
    if bucket is None:
        bucket = ResultBucket(start, span_s)
        buckets[start] = bucket
    return bucket


def _prune_and_list(buckets: dict[datetime, ResultBucket], oldest: datetime) -> list[ResultBucket]:
    expired = [start for start in buckets if start < oldest]
    for start in expired:
        buckets.pop(start)
    return sorted(buckets.values(), key=lambda bucket: bucket.start)
