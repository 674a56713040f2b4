"""Decides by a copy of the operator's requests where tasks may be started."""

from dataclasses import dataclass

# From the check just before a start is sent until the target has carried it out: the timeout of the
# call, and as much again for a target that is slow.
CARRY_OUT_S = 1.6
# What remains for a delay that nobody knows of, such as a pause of the process after the check.
MARGIN_S = 0.4
# Smallest ratio of the bound for which a copy may be used, when the bound is short.
MIN_AGE_RATIO = 0.4


def compute_copy_age_limit_s(evacuate_s: float) -> float:
    """Return how old a copy of the requests may be when a start is sent.

    `evacuate_s` is the time after a request from which nothing may start in the data centre. A copy
    with the usual bound of 5 s may be 3 s old, which covers a lost reply and a slow store.
    """
    return max(evacuate_s - CARRY_OUT_S - MARGIN_S, MIN_AGE_RATIO * evacuate_s)


@dataclass(frozen=True, slots=True)
class EvacuationCopy:
    """The data centres that the operator has asked to evacuate, as they were at `confirmed_s`.

    That is the time on the node's steady clock at which the read was requested, or None before the
    first one. All requests that the store had acknowledged by then are in the copy.
    """

    data_centres: frozenset[str] = frozenset()
    confirmed_s: float | None = None

    def is_recent(self, now_s: float, age_limit_s: float) -> bool:
        """Return whether the copy is recent enough for a start."""
        return self.confirmed_s is not None and now_s - self.confirmed_s <= age_limit_s

    def may_start(self, data_centre: str, now_s: float, age_limit_s: float) -> bool:
        """Return whether a task may be started in a data centre.

        With an old copy none may anywhere, because each data centre may be the one that was asked
        for since.
        """
        return data_centre not in self.data_centres and self.is_recent(now_s, age_limit_s)
