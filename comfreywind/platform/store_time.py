"""A reading of the store's steady clock."""

from dataclasses import dataclass

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class StoreTime:
    """The store said `store_ms` at some moment between `asked_s` and `answered_s` of our clock."""

    store_ms: float
    asked_s: float
    answered_s: float

    def compute_earliest_ms(self, now_s: float) -> float:
        """Return a lower bound of the store's clock now."""
        return self.store_ms + (now_s - self.answered_s) * MS_PER_S

    def compute_latest_ms(self, now_s: float) -> float:
        """Return an upper bound of the store's clock now."""
        return self.store_ms + (now_s - self.asked_s) * MS_PER_S
