"""How one attempt at a target ended, and what follows from that."""

import enum
from dataclasses import dataclass

from comfreywind.decisions.refusal import Outcome

# A shorter wait without an answer says more about the caller's deadline than about the target.
SLOW_FAILURE_S = 3.0


class AttemptEnd(enum.Enum):
    """The ways in which an attempt can end."""

    ANSWERED = enum.auto()
    ERROR_ANSWERED = enum.auto()
    REFUSED = enum.auto()
    UNREACHABLE = enum.auto()
    BROKEN = enum.auto()
    TIMED_OUT = enum.auto()


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt that has ended.

    `byte_sent` is True as soon as a byte of the request may have reached the target; `reused` tells
    that the connection had served another request before, and `silent` that the target has answered
    over a newer connection while this one stayed without a byte.
    """

    end: AttemptEnd
    byte_sent: bool = True
    byte_received: bool = True
    reused: bool = False
    taken_s: float = 0
    silent: bool = False


def find_outcome(attempt: Attempt) -> Outcome:
    """Return what a caller may conclude; only the target's word allows not-run after a byte."""
    if attempt.end in {AttemptEnd.ANSWERED, AttemptEnd.ERROR_ANSWERED}:
        return Outcome.ANSWERED
    if attempt.end is AttemptEnd.REFUSED or not attempt.byte_sent:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def counts_as_failure(attempt: Attempt) -> bool:
    """Return whether the attempt is a failure of its target.

    A refusal is the answer of a busy target. A timeout counts only when the target had
    SLOW_FAILURE_S and sent nothing, because a short deadline of a caller is no fault of the target.
    A silent connection is a fault of the network between.
    """
    if attempt.silent:
        return False
    if attempt.end is AttemptEnd.TIMED_OUT:
        return not attempt.byte_received and attempt.taken_s >= SLOW_FAILURE_S
    return attempt.end not in {AttemptEnd.ANSWERED, AttemptEnd.REFUSED}
