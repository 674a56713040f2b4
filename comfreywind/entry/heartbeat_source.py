"""What this entry reports in its heartbeats."""

from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.peers.messages.heartbeat import Heartbeat


class HeartbeatSource:
    """Collects the report from the parts of the entry."""

    def __init__(
        self, rules_view: RulesView, fleet_view: FleetView, dispatcher: Dispatcher
    ) -> None:
        """Report on the given parts."""
        self._rules_view = rules_view
        self._fleet_view = fleet_view
        self._dispatcher = dispatcher

    def make_heartbeat(self) -> Heartbeat:
        """Return the report; the hub fills its times.

        The sequence and the outstanding requests are read together, because a planned stop relies
        on both: no request at a target whose draining is known stays none.
        """
        return Heartbeat(
            sent_s=0,
            bundle_version=self._rules_view.read_version(),
            accepted_version=self._rules_view.accepted_version,
            keys_digest=self._rules_view.keys_digest,
            vms_digest=self._fleet_view.rows_digest,
            sequence=self._rules_view.view_sequence,
            store_age_s=self._rules_view.read_store_age_s(),
            attempt_age_s=self._rules_view.read_attempt_age_s(),
            fresh=self._rules_view.is_fresh(),
            outstanding_by_target=self._dispatcher.read_outstanding(),
        )
