"""Decides for how long a start order without a reply may still lead to a run of its task."""

from dataclasses import dataclass, field

# The users' targets may carry out an order this long after it was sent.
ORDER_DELAY_LIMIT_S = 12.0
CLOCK_DRIFT_RATIO = 1.02
MARGIN_S = 0.4
DEFAULT_LEASE_LIMIT_S = 6.0


def compute_longest_lease_s(lease_limit_s: float) -> float:
    """Return how long a lease may last on the holder's clock, whichever end its order names.

    A target shortens a longer lease to `lease_limit_s` on its own clock, which may be slow.
    """
    return lease_limit_s * CLOCK_DRIFT_RATIO + MARGIN_S


def compute_late_lease_s(lease_limit_s: float) -> float:
    """Return how long after its sending an order may keep a run alive that nobody else extends."""
    return ORDER_DELAY_LIMIT_S + compute_longest_lease_s(lease_limit_s)


@dataclass(slots=True)
class OpenStart:
    """Start orders of one task without a reply, all sent to the same target until `sent_s`.

    The target may carry them out later, also after it has restarted under its id. Until the orders
    are closed, the task may be started on this target only: a run of an earlier incarnation has ended
    with it, and the present one refuses a second run beside the first. `silent_s` is when the target
    last stopped replying; extensions of its lease that were sent before may be carried out late too.
    """

    target_id: str
    sent_s: float
    silent_s: float
    run_ids: set[int] = field(default_factory=set)

    def is_open(self, now_s: float, lease_limit_s: float) -> bool:
        """Return whether one of the orders may still be carried out, or its run may still exist."""
        last_s = max(self.sent_s, self.silent_s)
        return bool(self.run_ids) and now_s < last_s + compute_late_lease_s(lease_limit_s)

    def is_settled_by(self, requested_s: float) -> bool:
        """Return whether a complete report that was requested then shows what became of them."""
        return requested_s >= self.sent_s + ORDER_DELAY_LIMIT_S
