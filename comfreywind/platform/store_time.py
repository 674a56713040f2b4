"""A reading of the store's monotonic clock, and bounds of its time now."""

from dataclasses import dataclass

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class StoreTime:
    """The store's clock showed `store_ms` at some moment between a request and its reply.

    `request_sent_s` and `reply_received_s` are on this process's monotonic clock.
    """

    store_ms: float
    request_sent_s: float
    reply_received_s: float

    def compute_earliest_ms(self, now_s: float) -> float:
        """Return a lower bound of the store's time at `now_s` of this process's clock."""
        return self.store_ms + (now_s - self.reply_received_s) * MS_PER_S

    def compute_latest_ms(self, now_s: float) -> float:
        """Return an upper bound of the store's time at `now_s` of this process's clock."""
        return self.store_ms + (now_s - self.request_sent_s) * MS_PER_S
