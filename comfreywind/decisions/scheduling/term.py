"""Who schedules: one holder at a time, for a term under a lease row in the store.

The holder renews the row with its version as the condition. It stops giving orders when the length
of the term has passed since it sent its last successful renewal. A candidate takes over when that
length and a margin have passed since the renewal: by the store's clock, of which the row holds an
upper bound at the renewal, or since the candidate itself first saw the row at this version.
"""

import enum
from dataclasses import dataclass

# A holder stops before a candidate may take over; the margin covers the drift of steady clocks and
# the time from a check of the lease to the order being sent.
TAKEOVER_MARGIN_S = 0.4
DEFAULT_TERM_S = 1.6
# A store that answers 100 times slower than usual takes about a second for a renewal.
SLOW_STORE_TERM_S = 2.8
SLOW_RENEWAL_S = 0.25
RENEW_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.5
# Least cores of a VM, and the delay with which its node takes a free term. A candidate that polls
# sees a free term within half a second, so the small ones wait longer than that.
TAKE_DELAYS_S: tuple[tuple[float, float], ...] = ((2, 0), (1, 0.1), (0, 0.8))

# A node that started so much later than the holder was restarted after it; the users start all
# nodes of a fleet within 0.3 s.
RESTART_GAP_S = 2.5
# Nodes are restarted one by one, so a holder that has been is not soon stopped again. The others
# leave a released term to such a node for longer than it takes to see it.
OLDER_TAKE_DELAY_S = 0.7


class TermAction(enum.StrEnum):
    """What a node does next about the lease row."""

    WAIT = 'wait'
    TAKE = 'take'
    RENEW = 'renew'


@dataclass(frozen=True, slots=True)
class LeaseObservation:
    """The lease row as last seen.

    `unchanged_s` is for how long this node has seen the row at this version, `renewal_age_s` how
    long ago it was renewed at least by the store's clock, or None when that is not known.
    """

    exists: bool
    released: bool
    term_s: float
    unchanged_s: float
    renewal_age_s: float | None


def decide_term_action(sighting: LeaseObservation, holds_term: bool) -> TermAction:
    """Return the next step of a node that has seen the row."""
    if holds_term:
        return TermAction.RENEW
    if not sighting.exists or sighting.released:
        return TermAction.TAKE
    silent_s = max(sighting.unchanged_s, sighting.renewal_age_s or 0)
    if silent_s >= sighting.term_s + TAKEOVER_MARGIN_S:
        return TermAction.TAKE
    return TermAction.WAIT


def get_take_delay_s(cores: float) -> float:
    """Return how long a node lets others go first when the term is free.

    The holder's work takes up to a core on sites with 180 targets, so large VMs go first.
    """
    return next(delay_s for least, delay_s in TAKE_DELAYS_S if cores >= least)


def choose_term_s(last_renewal_took_s: float) -> float:
    """Return the length of the next term; a slow store needs a longer one to be renewed in time."""
    return SLOW_STORE_TERM_S if last_renewal_took_s > SLOW_RENEWAL_S else DEFAULT_TERM_S


def is_term_valid(renewal_sent_s: float | None, term_s: float, now_s: float) -> bool:
    """Return whether a holder may give orders."""
    return renewal_sent_s is not None and now_s - renewal_sent_s < term_s


def get_release_delay_s(started_later_s: float) -> float:
    """Return the further delay with which a node takes a term that its holder gave up.

    `started_later_s` is how much later than that holder the node started.
    """
    return 0 if started_later_s >= RESTART_GAP_S else OLDER_TAKE_DELAY_S
