"""Decides when a new holder may start tasks that an earlier holder may have started."""

from comfreywind.decisions.scheduling.open_start import compute_longest_lease_s

# An order of the earlier holder may have been sent this long after the term was taken.
LAST_ORDER_S = 0.1


def compute_earlier_lapse_s(lease_limit_s: float) -> float:
    """Return how long after its takeover a holder waits for targets that it can't reach.

    An order that an earlier holder sent to a target which had just restarted is on an earlier clock,
    so its lease is the longest that targets grant.
    """
    return compute_longest_lease_s(lease_limit_s) + LAST_ORDER_S


def may_reconcile(
    unseen_targets: int, registry_known: bool, waited_s: float, lapse_s: float
) -> bool:
    """Return whether the new holder knows every run that an earlier holder started.

    A target that has answered this holder counts as seen: the higher fence of this holder makes it
    refuse late orders of earlier ones. Runs on the other targets have lapsed when `lapse_s` has
    passed since the term was taken. If the target registry can't be read, all targets count as
    unseen.
    """
    return waited_s >= lapse_s or (registry_known and not unseen_targets)
