"""Units that are being reclaimed from a fenced holder."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Units of a fenced holder that become free after a wait.

    The wait of `wait_s` starts when an entry first sees this record in the row. Work that the
    holder started just before its fence may run for that long.
    """

    holder: str
    units: int
    wait_s: float
