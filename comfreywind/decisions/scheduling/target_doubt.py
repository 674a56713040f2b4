"""Decides what is known for certain of the runs on a target that may have restarted under its id.

A target is settled once its present incarnation has replied to a call with the present fence: orders
that were sent before no longer take effect there. Until then it is in doubt: such orders may still
arrive, start runs or extend their lease. Times in seconds are on the holder's steady clock.
"""

from dataclasses import dataclass

from comfreywind.decisions.scheduling.open_start import (
    CLOCK_DRIFT_RATIO,
    MARGIN_S,
    compute_late_lease_s,
    compute_longest_lease_s,
)

# A list of VMs may show a target as it was this long ago. The pages name no limit; with lists that are
# 3 s old, tasks of targets that had just restarted ran twice.
LIST_AGE_LIMIT_S = 4.0


@dataclass(slots=True)
class TargetDoubt:
    """State of one target, and the only place that says whether runs there may still exist.

    `fence` is that of all orders to the target now. `settled` is set once the incarnation that began
    at `incarnation_start_ms` has replied to a call with that fence. `restarted` is set while the end
    of the incarnation before is known, and not yet which of its runs were lost. `lease_end_s` is when
    the runs of a settled incarnation have certainly lapsed, and `ordered_s` when the last order for a
    lease was sent. `seen_live` is set once a list of VMs has certainly shown the incarnation that
    was settled at `settled_s` as live.
    """

    fence: int = 1
    incarnation_start_ms: int = 0
    settled: bool = False
    restarted: bool = False
    lease_end_s: float = 0
    ordered_s: float = 0
    settled_s: float = 0
    seen_live: bool = False

    def begin_incarnation(self, incarnation_start_ms: int) -> None:
        """Put the target in doubt, because another incarnation of it has begun."""
        self.incarnation_start_ms = incarnation_start_ms
        self.restarted = True
        self.raise_fence()

    def raise_fence(self) -> None:
        """Put the target in doubt; it will refuse the orders that were sent before."""
        self.fence += 1
        self.settled = False
        self.seen_live = False

    def settle(self, now_s: float) -> None:
        """Record that the present incarnation has replied to a call with the present fence."""
        self.settled = True
        self.restarted = False
        self.settled_s = now_s

    def record_lease(self, sent_s: float, lease_s: float) -> None:
        """Record an order for a lease on the known clock of the target, which may be slow."""
        end_s = sent_s + lease_s * CLOCK_DRIFT_RATIO + MARGIN_S
        self.lease_end_s = max(self.lease_end_s, end_s)
        self.ordered_s = max(self.ordered_s, sent_s)

    def record_runs(self, fence: int, now_s: float, lease_limit_s: float) -> None:
        """Record that a report with `fence` has shown runs while the target was in doubt.

        Their lease may have come from an order with a time on the clock of an earlier incarnation.
        Without the present fence, another one may still arrive.
        """
        compute_s = compute_longest_lease_s if fence == self.fence else compute_late_lease_s
        self.lease_end_s = now_s + compute_s(lease_limit_s)

    def may_extend(self, confirmed_ms: int) -> bool:
        """Return whether a late order may extend a run beyond `lease_end_s`.

        `confirmed_ms` is the start of the incarnation of which a reply or a report has shown the run,
        or 0 without one. A run of an earlier incarnation has ended with it.
        """
        return not self.settled and confirmed_ms >= max(self.incarnation_start_ms, 1)

    def record_list(self, live: bool, requested_s: float) -> None:
        """Record what a list of VMs tells of the target."""
        if live and self.settled and requested_s >= self.settled_s + LIST_AGE_LIMIT_S:
            self.seen_live = True

    def is_ended_by_list(self, requested_s: float, heard_s: float) -> bool:
        """Return whether a list of VMs without the target shows the end of its present incarnation.

        A list that has never shown this incarnation as live may tell of the one before, and one that
        was requested before the target last replied is too old.
        """
        heard_s = max(heard_s, self.settled_s)
        return self.settled and self.seen_live and requested_s > heard_s

    def needs_list(self, now_s: float, within_s: float) -> bool:
        """Return whether a list of VMs should show now that the target is live."""
        since_s = self.settled_s + LIST_AGE_LIMIT_S
        return self.settled and not self.seen_live and since_s <= now_s < since_s + within_s
