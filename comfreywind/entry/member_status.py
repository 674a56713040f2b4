"""Status of the other members for operators."""

from comfreywind.clock import Clock
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_state import PeerState


class MemberStatus:
    """Lists the other members with the contents of their last heartbeats."""

    def __init__(self, hub: PeerHub, clock: Clock) -> None:
        """Read the members and their heartbeats from `hub`."""
        self._hub = hub
        self._clock = clock

    def list_members(self) -> list[dict[str, object]]:
        """Return one document for each other member, sorted by name."""
        states = {state.identity.name: state for state in self._hub.list_states()}
        members = self._hub.list_members()
        return [
            {'name': name, 'address': str(address), **self._describe(states.get(name))}
            for name, address in sorted(members.items())
        ]

    def count_sent_bytes(self) -> int:
        """Return the bytes sent to the peers, not counting TCP and IP headers."""
        return self._hub.count_sent_bytes()

    def _describe(self, state: PeerState | None) -> dict[str, object]:
        if state is None or state.heartbeat is None:
            return {'alive': False, 'bundle_version': None, 'fresh': None, 'heard_s_ago': None}
        return {
            'alive': state.identity in self._hub.list_alive(),
            'incarnation': state.identity.incarnation,
            'bundle_version': state.heartbeat.bundle_version,
            'fresh': state.heartbeat.fresh,
            'heard_s_ago': round(self._clock.read_monotonic_s() - state.last_heartbeat_s, 3),
        }
