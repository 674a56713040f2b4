"""Decides for how long a start order without a reply may still lead to a run of its task."""

from dataclasses import dataclass, field

# The users' targets may carry out an order this long after it was sent.
ORDER_DELAY_LIMIT_S = 12.0
# A run that nobody extends ends with the longest lease that the platform allows, on a clock that may
# be slow, after the last order that was sent to its target.
LEASE_LIMIT_S = 6.0
CLOCK_DRIFT_RATIO = 1.02
MARGIN_S = 0.4
OPEN_START_S = ORDER_DELAY_LIMIT_S + LEASE_LIMIT_S * CLOCK_DRIFT_RATIO + MARGIN_S


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

    def is_open(self, now_s: float) -> bool:
        """Return whether one of the orders may still be carried out, or its run may still exist."""
        return bool(self.run_ids) and now_s < max(self.sent_s, self.silent_s) + OPEN_START_S

    def is_settled_by(self, requested_s: float) -> bool:
        """Return whether a complete report that was requested then shows what became of them."""
        return requested_s >= self.sent_s + ORDER_DELAY_LIMIT_S
