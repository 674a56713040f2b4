"""Tracks which members may run work on VMs and what they report about it."""

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
    """Combines the table `members` with the heartbeats of the peers.

    While the table is empty, the peers that the hub knows count as members. A peer from which no
    message has come for `silence_limit_s` counts as gone: its view is stale by then, so it starts
    no work.
    """

    def __init__(
        self,
        own_name: str,
        hub: PeerHub,
        view: ControlView,
        read_outstanding: OutstandingReader,
        clock: Clock,
        silence_limit_s: float,
    ) -> None:
        """Start without members; work of members lost before now may still run."""
        self._own_name = own_name
        self._hub = hub
        self._view = view
        self._read_outstanding = read_outstanding
        self._clock = clock
        self._silence_limit_s = silence_limit_s
        self._started_s = clock.read_monotonic_s()
        self._incarnations: dict[str, int] = {}
        self.unreported_since_s = self._started_s

    def observe(self) -> None:
        """Set `unreported_since_s` to now if a member was lost since the last call.

        A member is lost when it is gone, fenced or replaced by another incarnation. This includes
        a member that never sent a heartbeat: it may have had work running when it was fenced.
        """
        states = self._get_states_by_name()
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
        """Return the names of the entries that may hold a control lease, this one included."""
        return [self._own_name, *(peer.name for peer in self._hub.list_alive())]

    def read_reports(self, vm: str) -> list[MemberReport]:
        """Return the last report of each member about the VM, including that of this entry."""
        states = self._get_states_by_name()
        own = MemberReport(self._own_name, self._view.sequence, self._read_outstanding().get(vm, 0))
        reports = [_make_report(name, states.get(name), vm) for name in self._list_others(states)]
        return [own, *reports]

    def _get_states_by_name(self) -> dict[str, PeerState]:
        return {state.identity.name: state for state in self._hub.list_states()}

    def _list_others(self, states: Mapping[str, PeerState]) -> list[str]:
        rows = list(self._view.list_rows(TABLE_MEMBERS))
        if rows:
            named = [
                member.row.key for member in rows if not (member.row.value or {}).get('fenced')
            ]
        else:
            named = [name for name in self._hub.list_members() if not self._is_gone(name, states)]
        return [name for name in named if name != self._own_name]

    def _is_gone(self, name: str, states: Mapping[str, PeerState]) -> bool:
        last_heartbeat_s = states[name].last_heartbeat_s if name in states else self._started_s
        silent_s = self._clock.read_monotonic_s() - max(last_heartbeat_s, self._started_s)
        return silent_s > self._silence_limit_s


def _make_report(name: str, state: PeerState | None, vm: str) -> MemberReport:
    if state is None or state.heartbeat is None:
        return MemberReport(name, None, None)
    heartbeat = state.heartbeat
    return MemberReport(name, heartbeat.sequence, heartbeat.outstanding_by_target.get(vm, 0))
