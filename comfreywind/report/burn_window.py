"""Pairs of windows for burn-rate alerts (SRE workbook, chapter 5, table 5-8)."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class BurnWindow:
    """An alert fires when the burn rate is at least `threshold_ratio` in both windows."""

    name: str
    long: timedelta
    short: timedelta
    threshold_ratio: float


BURN_WINDOWS = (
    BurnWindow('page, 1 h', timedelta(hours=1), timedelta(minutes=5), 14.4),
    BurnWindow('page, 6 h', timedelta(hours=6), timedelta(minutes=30), 6),
    BurnWindow('ticket, 3 d', timedelta(days=3), timedelta(hours=6), 1),
)
BUDGET_PERIOD = timedelta(days=30)
