"""Who schedules: one holder at a time, for a term under a lease row in the store.

The holder renews the row with its version as the condition. The others see only that the row
changes, so no clocks are compared: a candidate takes over when it has seen the same version for
`TAKEOVER_S`, and a holder stops giving orders `TERM_S` after it sent its last successful renewal.
"""

import enum
from dataclasses import dataclass

# The holder stops before a candidate may take over; the difference covers the drift of two steady
# clocks and the time from a check of the lease to the order being sent.
TERM_S = 1.8
TAKEOVER_S = 2.2
RENEW_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.5


class TermStep(enum.StrEnum):
    """What a node does next about the lease row."""

    WAIT = 'wait'
    TAKE = 'take'
    RENEW = 'renew'


@dataclass(frozen=True, slots=True)
class LeaseSighting:
    """The lease row as last seen; `unchanged_since_s` is when this version was first seen."""

    version: int
    holder: str
    epoch: int
    released: bool
    unchanged_since_s: float


def decide_term_step(sighting: LeaseSighting, node: str, leading: bool, now_s: float) -> TermStep:
    """Return the next step of a node that has seen the row at this version."""
    if leading and sighting.holder == node:
        return TermStep.RENEW
    if sighting.version == 0 or sighting.released:
        return TermStep.TAKE
    if now_s - sighting.unchanged_since_s >= TAKEOVER_S:
        return TermStep.TAKE
    return TermStep.WAIT


def is_term_valid(last_renewal_sent_s: float | None, now_s: float) -> bool:
    """Return whether a holder may give orders."""
    return last_renewal_sent_s is not None and now_s - last_renewal_sent_s < TERM_S
