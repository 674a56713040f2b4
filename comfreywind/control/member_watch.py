"""Watches what the members have confirmed and which of them have gone."""

from collections.abc import Callable, Mapping

from comfreywind.clock import Clock
from comfreywind.control.control_view import ControlView
from comfreywind.decisions.pools.drain import MemberReport
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_state import PeerState
from comfreywind.platform.table_names import TABLE_MEMBERS

UNKNOWN_INCARNATION = 0
OutstandingReader = Callable[[], Mapping[str, int]]


class MemberWatch:
    """Joins the table `members` with the heartbeats of the peers.

    While the table is empty, the peers that the hub knows count as members, and one that has been
    silent for `excuse_s` counts as gone: its view is stale by then, so it starts no work.
    """

    def __init__(
        self,
        own_name: str,
        hub: PeerHub,
        view: ControlView,
        read_outstanding: OutstandingReader,
        clock: Clock,
        excuse_s: float,
    ) -> None:
        """Start now: what earlier members left running is not known."""
        self._own_name = own_name
        self._hub = hub
        self._view = view
        self._read_outstanding = read_outstanding
        self._clock = clock
        self._excuse_s = excuse_s
        self._started_s = clock.read_monotonic_s()
        self._incarnations: dict[str, int] = {}
        self.unreported_since_s = self._started_s

    def observe(self) -> None:
        """Note members that have gone, been fenced or been replaced since the last call.

        A member that has never been heard of counts too: it may have had work running when it was
        fenced.
        """
        states = self._find_states()
        incarnations = {
            name: states[name].identity.incarnation if name in states else UNKNOWN_INCARNATION
            for name in self._list_others(states)
        }
        lost = [
            name
            for name, incarnation in self._incarnations.items()
            if incarnations.get(name) != incarnation
        ]
        if lost:
            self.unreported_since_s = self._clock.read_monotonic_s()
        self._incarnations = incarnations

    def list_alive(self) -> list[str]:
        """Return the names of the entries that may hold control work, this one included."""
        return [self._own_name, *(peer.name for peer in self._hub.list_alive())]

    def read_reports(self, vm: str) -> list[MemberReport]:
        """Return the report of each member about the VM, this entry's own included."""
        states = self._find_states()
        own = MemberReport(self._own_name, self._view.sequence, self._read_outstanding().get(vm, 0))
        reports = [_make_report(name, states.get(name), vm) for name in self._list_others(states)]
        return [own, *reports]

    def _find_states(self) -> dict[str, PeerState]:
        return {state.identity.name: state for state in self._hub.list_states()}

    def _list_others(self, states: Mapping[str, PeerState]) -> list[str]:
        rows = list(self._view.list_rows(TABLE_MEMBERS))
        if rows:
            named = [seen.row.key for seen in rows if not (seen.row.value or {}).get('fenced')]
        else:
            named = [
                name for name in self._hub.list_members() if not self._is_excused(name, states)
            ]
        return [name for name in named if name != self._own_name]

    def _is_excused(self, name: str, states: Mapping[str, PeerState]) -> bool:
        last_heartbeat_s = states[name].last_heartbeat_s if name in states else self._started_s
        silent_s = self._clock.read_monotonic_s() - max(last_heartbeat_s, self._started_s)
        return silent_s > self._excuse_s


def _make_report(name: str, state: PeerState | None, vm: str) -> MemberReport:
    if state is None or state.heartbeat is None:
        return MemberReport(name, None, None)
    heartbeat = state.heartbeat
    return MemberReport(name, heartbeat.sequence, heartbeat.outstanding_by_target.get(vm, 0))
