"""Decides when a new holder may start tasks that an earlier holder may have started."""


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
