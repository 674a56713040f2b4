"""Decides which node schedules: one holder at a time, for a term under a lease row in the store.

The holder renews the row by a write on condition of its version. It stops sending orders when the
length of the term has passed since it sent its last successful renewal. A candidate takes over when
that length and a margin have passed since the renewal: by the store's clock, of which the row holds
an upper bound at the renewal, or since the candidate first read the row at this version.
"""

import enum
import math
from dataclasses import dataclass

# Time between the end of a term and the takeover by a candidate. It covers the drift of monotonic
# clocks and the time from the holder's check of its lease to the sending of an order.
TAKEOVER_MARGIN_S = 0.4
DEFAULT_TERM_S = 1.0
# The term while renewals take longer than SLOW_RENEWAL_S. A store that answers 100 times slower
# than usual takes about a second for a renewal.
SLOW_STORE_TERM_S = 2.8
SLOW_RENEWAL_S = 0.25
RENEW_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.5
# Minimum cores of a VM, and the delay with which its node takes a free term. Candidates read the
# row every POLL_INTERVAL_S, so the smallest VMs wait longer than that to let larger ones go first.
TAKE_DELAYS_S: tuple[tuple[float, float], ...] = ((2, 0), (1, 0.1), (0, 0.8))
# When an outage of the store ends, a lapsed term is left to its holder for this time. The holder
# renews it at once, and knows the jobs and runs that another node would have to load first.
RETURN_GRACE_S = 0.4

# A node that started at least this much later than the holder has been restarted since; when a
# whole fleet starts, its nodes do so within 0.3 s.
RESTART_GAP_S = 2.5
# In a rolling restart, a node that has been restarted isn't stopped again soon and makes the better
# holder. The other nodes leave a released term to such a node for longer than POLL_INTERVAL_S,
# within which it notices the release.
OLDER_TAKE_DELAY_S = 0.7


class TermAction(enum.StrEnum):
    """What a node does next with the lease row."""

    WAIT = 'wait'
    TAKE = 'take'
    RENEW = 'renew'


@dataclass(frozen=True, slots=True)
class LeaseObservation:
    """The lease row as a node last read it.

    `unchanged_s` is for how long this node has read the row at the same version. `renewal_age_s` is
    the minimum time since the last renewal by the store's clock, or None when that isn't known.
    `reached_for_s` is the time since the end of the last outage of the store for this node.
    """

    exists: bool
    released: bool
    term_s: float
    unchanged_s: float
    renewal_age_s: float | None
    reached_for_s: float = math.inf


def decide_term_action(observation: LeaseObservation, holds_term: bool) -> TermAction:
    """Return what a node does next that has read the row."""
    if holds_term:
        return TermAction.RENEW
    if not observation.exists or observation.released:
        return TermAction.TAKE
    return TermAction.WAIT if _get_lapse_delay_s(observation) > 0 else TermAction.TAKE


def choose_poll_pause_s(observation: LeaseObservation, interval_s: float) -> float:
    """Return when a candidate reads the row again: after the interval, or when the term lapses.

    A term that is renewed in time never lapses within the interval, so that only the loss of a
    holder causes an additional read.
    """
    if not observation.exists or observation.released:
        return interval_s
    lapses_in_s = _get_lapse_delay_s(observation)
    return min(interval_s, lapses_in_s) if lapses_in_s > 0 else interval_s


def get_take_delay_s(cores: float) -> float:
    """Return how long a node leaves a free term to other nodes before it takes it.

    The holder needs up to a core on sites with 180 targets, so nodes on large VMs go first.
    """
    return next(delay_s for min_cores, delay_s in TAKE_DELAYS_S if cores >= min_cores)


def choose_term_s(last_renewal_took_s: float) -> float:
    """Return the length of the next term: longer on a slow store, to be renewed in time."""
    return SLOW_STORE_TERM_S if last_renewal_took_s > SLOW_RENEWAL_S else DEFAULT_TERM_S


def is_term_valid(renewal_sent_s: float | None, term_s: float, now_s: float) -> bool:
    """Return whether a holder may send orders; without any renewal it may not."""
    return renewal_sent_s is not None and now_s - renewal_sent_s < term_s


def get_release_delay_s(started_later_s: float) -> float:
    """Return the additional delay with which a node takes a term that its holder released.

    `started_later_s` is how much later than that holder the node started.
    """
    return 0 if started_later_s >= RESTART_GAP_S else OLDER_TAKE_DELAY_S


def _get_lapse_delay_s(observation: LeaseObservation) -> float:
    """Return in how many seconds this node may take the term if it isn't renewed before."""
    lapses_in_s = observation.term_s + TAKEOVER_MARGIN_S - _get_unrenewed_s(observation)
    return max(lapses_in_s, RETURN_GRACE_S - observation.reached_for_s)


def _get_unrenewed_s(observation: LeaseObservation) -> float:
    """Return for how long the row has certainly not been renewed."""
    return max(observation.unchanged_s, observation.renewal_age_s or 0)
