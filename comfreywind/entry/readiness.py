"""Whether this entry may take work, and the end of what waits when it may not."""

import trio

from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.unit_source import UnitSource

RETRY_AFTER_S = 1.0
DETAIL = 'this entry takes no work now; another one may'


class Readiness:
    """Joins freshness of the rules and validity of the session.

    Requests that wait when the entry stops being ready are refused at once: they can't start here,
    and another entry may still run them before their deadline.
    """

    def __init__(self, rules_view: RulesView, units: UnitSource, dispatcher: Dispatcher) -> None:
        """Use the given parts."""
        self._rules_view = rules_view
        self._units = units
        self._dispatcher = dispatcher

    def get_refusal(self) -> Refusal | None:
        """Return the refusal that every request gets now, or None when the entry is ready."""
        reason = self._find_reason()
        return None if reason is None else Refusal(reason, DETAIL, retry_after_s=RETRY_AFTER_S)

    async def run(self, interval_s: float) -> None:
        """Check in a fixed period for ever."""
        while True:
            refusal = self.get_refusal()
            if refusal is not None:
                self._dispatcher.refuse_waiting(refusal)
            await trio.sleep(interval_s)

    def _find_reason(self) -> RefusalReason | None:
        if self._rules_view.rules is None:
            return RefusalReason.ENTRY_STARTING
        if not self._rules_view.is_fresh():
            return RefusalReason.RULES_STALE
        if self._units.read_session_left_s() <= 0:
            return RefusalReason.SESSION_LAPSED
        return None
