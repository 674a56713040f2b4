"""When a new holder may start work that an earlier one may have started."""


def may_reconcile(
    unseen_targets: int, registry_known: bool, waited_s: float, lapse_s: float
) -> bool:
    """Return whether no run of an earlier holder can be unseen any more.

    A target was seen once it has answered this holder, whose higher fence then keeps late orders of
    an earlier one out. What runs on the others has lapsed `lapse_s` after the term was taken. With
    a roster that can't be read all targets count as unseen.
    """
    return waited_s >= lapse_s or (registry_known and not unseen_targets)
