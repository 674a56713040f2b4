"""Decides whether this entry accepts requests, and refuses the waiting ones when it doesn't."""

import trio

from comfreywind.decisions.refusal import Refusal, RefusalReason
from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.unit_source import UnitSource

RETRY_AFTER_S = 1.0
REFUSAL_DETAIL = 'this entry takes no work now; another one may'


class Readiness:
    """Reports the entry as ready while its rules are fresh and its session is valid.

    When the entry stops being ready, its waiting requests are refused at once: they can't start
    here, and another entry may still run them before their deadline.
    """

    def __init__(self, rules_view: RulesView, units: UnitSource, dispatcher: Dispatcher) -> None:
        """Check `rules_view` and the session of `units`; refuse the requests in `dispatcher`."""
        self._rules_view = rules_view
        self._units = units
        self._dispatcher = dispatcher

    def get_refusal(self) -> Refusal | None:
        """Return the refusal for all requests, or None if the entry is ready."""
        reason = self._get_reason()
        return (
            None if reason is None else Refusal(reason, REFUSAL_DETAIL, retry_after_s=RETRY_AFTER_S)
        )

    async def run(self, interval_s: float) -> None:
        """Check every `interval_s` seconds until cancelled."""
        while True:
            refusal = self.get_refusal()
            if refusal is not None:
                self._dispatcher.refuse_waiting(refusal)
            await trio.sleep(interval_s)

    def _get_reason(self) -> RefusalReason | None:
        if self._rules_view.rules is None:
            return RefusalReason.ENTRY_STARTING
        if not self._rules_view.is_fresh():
            return RefusalReason.RULES_STALE
        if self._units.read_session_left_s() <= 0:
            return RefusalReason.SESSION_LAPSED
        return None
