"""Decides how many VMs move to standby after the evacuation of a data centre was taken back."""

# One VM at a time moves to standby, this far apart, while the pools have a surplus.
SHRINK_INTERVAL_S = 1.0
# The pace ends when this long after the evacuation no VM is to move.
PACED_S = 10.0


class ShrinkPace:
    """Spreads the moves to standby over time after an evacuation.

    All VMs of the data centre count again at the same moment, so the pools that were refilled
    meanwhile have a large surplus at once. Without a pace all of it would move in one turn.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self._evacuated: frozenset[str] = frozenset()
        self._paced_since_s: float | None = None
        self._moved_s = float('-inf')

    def update(self, evacuated: frozenset[str], now_s: float) -> None:
        """Note which data centres are evacuated; the pace begins when one of them is no more."""
        if self._evacuated - evacuated:
            self._paced_since_s = now_s
            self._moved_s = now_s
        self._evacuated = evacuated

    def admit(self, wanted: int, now_s: float) -> int:
        """Return how many of the wanted moves to standby may be ordered now."""
        if self._paced_since_s is None:
            return wanted
        if not wanted and now_s - self._paced_since_s >= PACED_S:
            self._paced_since_s = None
        if not wanted or now_s - self._moved_s < SHRINK_INTERVAL_S:
            return 0
        self._moved_s = now_s
        return 1
