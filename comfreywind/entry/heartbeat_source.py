"""Builds the heartbeats of this entry."""

from comfreywind.entry.dispatcher import Dispatcher
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.rules_view import RulesView
from comfreywind.peers.messages.heartbeat import Heartbeat


class HeartbeatSource:
    """Builds heartbeats from the views and the dispatcher."""

    def __init__(
        self, rules_view: RulesView, fleet_view: FleetView, dispatcher: Dispatcher
    ) -> None:
        """Read from the given views and dispatcher."""
        self._rules_view = rules_view
        self._fleet_view = fleet_view
        self._dispatcher = dispatcher

    def make_heartbeat(self) -> Heartbeat:
        """Return a heartbeat; the hub fills in its times.

        The sequence number and the outstanding requests are read at the same instant, because a
        planned stop relies on both: an entry that knows that a target is draining and has no
        requests there will send none.
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
