"""The session of an entry, and its promises and agreements about the sessions of others."""

from dataclasses import dataclass

from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.decisions.portions.totals import NumberMap


@dataclass(frozen=True, slots=True)
class SessionState:
    """Session of one incarnation of an entry; times are monotonic, in seconds.

    `granted` maps each holder that this entry gave a promise to the time at which the promise ends.
    `commitments` maps each holder to whose fence this entry agreed to the renewal number that the
    agreement is for. No fence query is answered before `silent_until_s`, because an earlier process
    of this name may have given a promise that is still valid.
    """

    holder: str
    timing: SessionTiming
    silent_until_s: float
    valid_until_s: float = 0
    renewal_number: int = 0
    fenced: bool = False
    granted: NumberMap = ()
    commitments: NumberMap = ()


def is_session_valid(session_state: SessionState, now_s: float) -> bool:
    """Return whether the entry may start work, give promises and give units."""
    return not session_state.fenced and now_s < session_state.valid_until_s


def is_committed(session_state: SessionState, holder: str) -> bool:
    """Return whether the entry agreed to fence the holder; it then exchanges no units with it."""
    return any(name == holder for name, _ in session_state.commitments)
