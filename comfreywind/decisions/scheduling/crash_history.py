"""Remembers crashes of targets that no task just started there can explain."""

# A series of crashes with another cause, such as a failing rack, lasts for tens of seconds.
MEMORY_S = 30.0


class CrashHistory:
    """The last unexplained crash in each pool, with times on the caller's clock.

    While targets also crash without a suspect, a crash beside a suspect is weaker evidence: some
    suspects are there by chance.
    """

    def __init__(self) -> None:
        """Begin without a crash."""
        self._last_s: dict[str, float] = {}

    def note_unexplained(self, pool: str, crashed_s: float) -> None:
        """Record a crash of a target on which no suspect ran."""
        self._last_s[pool] = max(crashed_s, self._last_s.get(pool, crashed_s))

    def has_other_cause(self, pool: str, crashed_s: float) -> bool:
        """Return whether targets of the pool crash for another reason around that time."""
        last_s = self._last_s.get(pool)
        return last_s is not None and abs(crashed_s - last_s) <= MEMORY_S
