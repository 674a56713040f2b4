"""A cache whose entries expire."""

from typing import Generic, TypeVar

from comfreywind.clock import Clock

Kept = TypeVar('Kept')


class TtlCache(Generic[Kept]):
    """Keeps up to `limit` values by key, each for `ttl_s` after it was put."""

    def __init__(self, limit: int, ttl_s: float, clock: Clock) -> None:
        """Start empty."""
        self._limit = limit
        self._ttl_s = ttl_s
        self._clock = clock
        self._entries: dict[str, tuple[Kept, float]] = {}

    def put(self, key: str, value: Kept) -> None:
        """Store a value under a key; a full cache evicts the entry that was put first."""
        self._entries.pop(key, None)
        while len(self._entries) >= self._limit:
            del self._entries[next(iter(self._entries))]
        self._entries[key] = (value, self._clock.read_monotonic_s() + self._ttl_s)

    def get(self, key: str) -> Kept | None:
        """Return the value of a key, or None when there is none or it has expired."""
        if key not in self._entries:
            return None
        value, expires_s = self._entries[key]
        if self._clock.read_monotonic_s() < expires_s:
            return value
        self.drop(key)
        return None

    def drop(self, key: str) -> None:
        """Forget the value of a key."""
        self._entries.pop(key, None)
