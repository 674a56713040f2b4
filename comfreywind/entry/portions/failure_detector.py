"""Detects members whose process has certainly ended."""

import errno
from collections.abc import Iterable

import trio

from comfreywind.clock import Clock
from comfreywind.entry.portions.member_row import MemberRow
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.settings.address import Address, parse_address

# A process that has refused all connections for this long has ended. A frozen one does not refuse
# them, because it keeps its listening socket.
REFUSAL_PERIOD_S = 2.0
PROBE_TIMEOUT_S = 0.5
# With more time than this between two refusals, the process may have listened in between, so the
# period of refusals starts again.
MAX_PROBE_GAP_S = 1.0


class FailureDetector:
    """Keeps the time since which each member is known to be dead.

    A member is dead if a process of a higher incarnation answers at its peer address, or if that
    address has refused all connections for `REFUSAL_PERIOD_S`.
    """

    def __init__(self, hub: PeerHub, view: PortionView, clock: Clock) -> None:
        """Start with no member known to be dead."""
        self._hub = hub
        self._view = view
        self._clock = clock
        self._dead_since_s: dict[str, float] = {}
        self._refusal_periods: dict[str, tuple[float, float]] = {}

    def get_dead_since_s(self, member: MemberRow) -> float | None:
        """Return the monotonic time since which the member is known to be dead, or None if it isn't."""
        if member.holder not in self._dead_since_s and self._is_replaced(member):
            self._dead_since_s[member.holder] = self._clock.read_monotonic_s()
        return self._dead_since_s.get(member.holder)

    async def probe(self, holders: Iterable[str]) -> None:
        """Connect to the peer addresses of the holders, and record which addresses refuse."""
        async with trio.open_nursery() as nursery:
            for holder in holders:
                member = self._view.get_live_member(holder)
                if member is not None and holder not in self._dead_since_s:
                    nursery.start_soon(self._probe_member, member)

    def _is_replaced(self, member: MemberRow) -> bool:
        return any(
            state.identity.name == member.name
            and state.identity.incarnation > member.incarnation
            and str(state.address) == member.peer_address
            for state in self._hub.list_states()
        )

    async def _probe_member(self, member: MemberRow) -> None:
        refused = await _refuses_connections(parse_address(member.peer_address))
        now_s = self._clock.read_monotonic_s()
        if not refused:
            self._refusal_periods.pop(member.holder, None)
            return
        first_s, last_s = self._refusal_periods.get(member.holder, (now_s, now_s))
        if now_s - last_s > MAX_PROBE_GAP_S:
            first_s = now_s
        self._refusal_periods[member.holder] = (first_s, now_s)
        if now_s - first_s >= REFUSAL_PERIOD_S:
            self._dead_since_s[member.holder] = now_s


async def _refuses_connections(address: Address) -> bool:
    with trio.socket.socket() as probe, trio.move_on_after(PROBE_TIMEOUT_S):
        try:
            await probe.connect((address.host, address.port))
        except OSError as error:
            return error.errno == errno.ECONNREFUSED
    return False
