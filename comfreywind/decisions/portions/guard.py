"""What an entry knows about its own session and has promised to others."""

from dataclasses import dataclass

from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.decisions.portions.totals import Totals


@dataclass(frozen=True, slots=True)
class Guard:
    """Session and promises of one incarnation; all times are monotonic seconds of this entry.

    `granted` maps a holder to the end of the promise to it, `commitments` maps a holder to the renewal
    number under which this entry agreed to its fence. Before `silent_until_s` no fence query is
    answered, because an earlier process of this name may have made a promise.
    """

    holder: str
    timing: SessionTiming
    silent_until_s: float
    valid_until_s: float = 0
    renewal_number: int = 0
    fenced: bool = False
    granted: Totals = ()
    commitments: Totals = ()


def is_session_valid(guard: Guard, now_s: float) -> bool:
    """Return whether the entry may start work and give promises or units."""
    return not guard.fenced and now_s < guard.valid_until_s


def is_committed(guard: Guard, holder: str) -> bool:
    """Return whether the entry agreed to fence the holder; it then trades no units with it."""
    return any(name == holder for name, _ in guard.commitments)
