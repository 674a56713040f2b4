"""What was read lately and need not be read again."""

from typing import Generic, TypeVar

from comfreywind.clock import Clock

Kept = TypeVar('Kept')


class TtlCache(Generic[Kept]):
    """Keeps values by key for a time in seconds, at most `limit` of them."""

    def __init__(self, limit: int, kept_s: float, clock: Clock) -> None:
        """Start empty."""
        self._limit = limit
        self._kept_s = kept_s
        self._clock = clock
        self._kept: dict[str, tuple[Kept, float]] = {}

    def put(self, key: str, value: Kept) -> None:
        """Keep a value, in place of the oldest when there are many."""
        self._kept.pop(key, None)
        while len(self._kept) >= self._limit:
            del self._kept[next(iter(self._kept))]
        self._kept[key] = (value, self._clock.read_monotonic_s() + self._kept_s)

    def get(self, key: str) -> Kept | None:
        """Return the value, or None when it is not known or too old."""
        if key not in self._kept:
            return None
        value, until_s = self._kept[key]
        if self._clock.read_monotonic_s() < until_s:
            return value
        self.drop(key)
        return None

    def drop(self, key: str) -> None:
        """Forget the value of a key."""
        self._kept.pop(key, None)
