"""Results of attempts to send a request to a target, and how they are classified."""

import enum
from dataclasses import dataclass

from comfreywind.decisions.refusal import Outcome

# A timeout after less than this may be due to a short deadline of the caller, not to the target.
MIN_FAILED_WAIT_S = 3.0


class AttemptEnd(enum.Enum):
    """How an attempt ended.

    `REFUSED` is an answer by which the target, usually a busy one, states that it has not run the
    request. `UNREACHABLE` is a failure to connect, and `BROKEN` a connection that failed later.
    """

    ANSWERED = enum.auto()
    ERROR_ANSWERED = enum.auto()
    REFUSED = enum.auto()
    UNREACHABLE = enum.auto()
    BROKEN = enum.auto()
    TIMED_OUT = enum.auto()


@dataclass(frozen=True, slots=True)
class Attempt:
    """The result of one attempt.

    `byte_sent` is True if a byte of the request may have reached the target, `reused` if the
    connection had served another request before, and `silent` if the target has answered on a newer
    connection while nothing was received on this one. `elapsed_s` is the duration of the attempt.
    """

    end: AttemptEnd
    byte_sent: bool = True
    byte_received: bool = True
    reused: bool = False
    elapsed_s: float = 0
    silent: bool = False


def get_outcome(attempt: Attempt) -> Outcome:
    """Return what the caller may conclude from the attempt.

    Once a byte may have reached the target, only a refusal by the target proves that the request
    has not run.
    """
    if attempt.end in {AttemptEnd.ANSWERED, AttemptEnd.ERROR_ANSWERED}:
        return Outcome.ANSWERED
    if attempt.end is AttemptEnd.REFUSED or not attempt.byte_sent:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def counts_as_failure(attempt: Attempt) -> bool:
    """Return whether the attempt counts as a failure of the target.

    A refusal does not count: the target works but is busy. A timeout counts only if the target sent
    nothing for MIN_FAILED_WAIT_S, because a short deadline of a caller is not the target's fault. A
    silent connection is a fault of the network.
    """
    if attempt.silent:
        return False
    if attempt.end is AttemptEnd.TIMED_OUT:
        return not attempt.byte_received and attempt.elapsed_s >= MIN_FAILED_WAIT_S
    return attempt.end not in {AttemptEnd.ANSWERED, AttemptEnd.REFUSED}
