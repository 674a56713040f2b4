"""What this entry reports in its heartbeats."""

from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.rules_view import RulesView
from comfreywind.peers.messages.heartbeat import Heartbeat


class HeartbeatSource:
    """Collects the report from the parts of the entry."""

    def __init__(self, rules_view: RulesView, dispatcher: Dispatcher) -> None:
        """Report on the given parts."""
        self._rules_view = rules_view
        self._dispatcher = dispatcher

    def make_heartbeat(self) -> Heartbeat:
        """Return the report; the hub fills its times.

        The sequence and the outstanding requests are read together, because a planned stop relies
        on both: no request at a target whose draining is known stays none.
        """
        rules = self._rules_view.rules
        return Heartbeat(
            sent_s=0,
            bundle_version=rules.version if rules else 0,
            sequence=self._rules_view.sequence,
            store_age_s=self._rules_view.read_age_s(),
            fresh=self._rules_view.is_fresh(),
            outstanding_by_target=self._dispatcher.read_outstanding(),
        )
