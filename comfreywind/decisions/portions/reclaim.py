"""Units of a holder that was fenced."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Units that become free `wait_s` after an entry first saw this record in the row.

    Work that the holder started just before its fence may run for that long.
    """

    holder: str
    units: int
    wait_s: float
