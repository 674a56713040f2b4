"""Proof that the process of a member has ended."""

import errno
from collections.abc import Iterable

import trio

from comfreywind.clock import Clock
from comfreywind.entry.portions.member_row import MemberRow
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.settings.address import Address, parse_address

# A frozen process keeps its listening socket and does not refuse connections.
REFUSING_S = 2.0
PROBE_TIMEOUT_S = 0.5
# Refusals further apart than this are not a period without a break.
PROBE_GAP_S = 1.0


class FailureDetector:
    """Notes since when each member is known to be dead.

    A process of a higher incarnation answers at its peer address, or that address has refused all
    connections for 2 s.
    """

    def __init__(self, hub: PeerHub, view: PortionView, clock: Clock) -> None:
        """Start without proofs."""
        self._hub = hub
        self._view = view
        self._clock = clock
        self._dead_s: dict[str, float] = {}
        self._refusing: dict[str, tuple[float, float]] = {}

    def read_dead_since_s(self, member: MemberRow) -> float | None:
        """Return when the proof was first seen, as a monotonic time, or None without one."""
        if member.holder not in self._dead_s and self._is_replaced(member):
            self._dead_s[member.holder] = self._clock.read_monotonic_s()
        return self._dead_s.get(member.holder)

    async def probe(self, holders: Iterable[str]) -> None:
        """Connect to the peer addresses of the members and note which ones refuse."""
        async with trio.open_nursery() as nursery:
            for holder in holders:
                member = self._view.find_live(holder)
                if member is not None and holder not in self._dead_s:
                    nursery.start_soon(self._probe_one, member)

    def _is_replaced(self, member: MemberRow) -> bool:
        return any(
            state.identity.name == member.name
            and state.identity.incarnation > member.incarnation
            and str(state.address) == member.peer_address
            for state in self._hub.list_states()
        )

    async def _probe_one(self, member: MemberRow) -> None:
        refused = await _refuses_connections(parse_address(member.peer_address))
        now_s = self._clock.read_monotonic_s()
        if not refused:
            self._refusing.pop(member.holder, None)
            return
        first_s, last_s = self._refusing.get(member.holder, (now_s, now_s))
        if now_s - last_s > PROBE_GAP_S:
            first_s = now_s
        self._refusing[member.holder] = (first_s, now_s)
        if now_s - first_s >= REFUSING_S:
            self._dead_s[member.holder] = now_s


async def _refuses_connections(address: Address) -> bool:
    with trio.socket.socket() as probe, trio.move_on_after(PROBE_TIMEOUT_S):
        try:
            await probe.connect((address.host, address.port))
        except OSError as error:
            return error.errno == errno.ECONNREFUSED
    return False
