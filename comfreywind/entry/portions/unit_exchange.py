"""Transfers units between peers without a write to the store."""

from comfreywind.clock import Clock
from comfreywind.decisions.portions.holder_name import is_settled, split_holder
from comfreywind.decisions.portions.ledger_changes import give_units, receive_units
from comfreywind.decisions.portions.totals import get_number
from comfreywind.decisions.portions.unit_shares import UnitDemand, decide_transfer
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_codec import make_resource, parse_team
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.peers.messages.units_received import UnitsReceived
from comfreywind.peers.messages.units_request import UnitsRequest
from comfreywind.peers.messages.units_transfer import UnitsTransfer
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity

# A request without an answer is repeated after this time, to another peer if there is one.
ASK_INTERVAL_S = 0.2
# A peer that had no idle units left, or did not answer, is not asked again for this time.
EMPTY_PEER_PAUSE_S = 0.5
# With fewer units than entries that need one, an entry that got its only unit and needs it keeps
# it at least this long.
LAST_UNIT_TURN_S = 1.0
# Units that become idle within this time after a request still go to the peer that asked.
DEFERRED_TRANSFER_S = 0.5


class UnitExchange:
    """Asks peers for units that waiting requests need, and gives units to peers that ask."""

    def __init__(self, hub: PeerHub, book: PortionBook, view: PortionView, clock: Clock) -> None:
        """Subscribe to the messages of peers about units."""
        self._hub = hub
        self._book = book
        self._view = view
        self._clock = clock
        self._last_request_s: dict[str, float] = {}
        self._found_empty_s: dict[tuple[str, str], float] = {}
        self._turn_started_s: dict[str, float] = {}
        self._deferred: dict[str, tuple[str, int, float]] = {}
        self._confirmed: dict[tuple[str, str, str], int] = {}
        hub.subscribe(UnitsRequest, self._receive_request)
        hub.subscribe(UnitsTransfer, self._receive_transfer)
        hub.subscribe(UnitsReceived, self._receive_confirmation)

    def tick(self) -> None:
        """Give deferred units, repeat unconfirmed transfers and ask for units that are still missing."""
        if not self._book.is_valid():
            return
        for team in list(self._deferred):
            self.give_deferred_units(team)
        for resource in self._book.list_resources():
            self._repeat_transfers(resource)
        for team, waiting_count in list(self._book.waiting.items()):
            if waiting_count > 0:
                self.ask(team)

    def ask(self, team: str) -> None:
        """Request units from the peer with the most recorded ones, unless a request is pending."""
        wanted_units = self._book.waiting[team] - max(0, self._book.count_idle(team))
        now_s = self._clock.read_monotonic_s()
        if wanted_units <= 0 or self._last_request_s.get(team, 0) > now_s - ASK_INTERVAL_S:
            return
        peer = self._choose_peer(team, now_s)
        if peer is None or not self._book.is_valid():
            return
        self._last_request_s[team] = now_s
        # A reply with idle units clears this; without a reply, another peer is asked next.
        self._found_empty_s[team, peer] = now_s
        request = UnitsRequest(
            self._book.holder,
            make_resource(team),
            wanted_units,
            self._book.count_held(team),
            self._book.count_demand(team),
        )
        self._hub.send(peer, request)

    def give_deferred_units(self, team: str) -> None:
        """Give units that have become idle to the peer that asked when too few were idle."""
        if team not in self._deferred:
            return
        holder, deferred_units, until_s = self._deferred.pop(team)
        idle_units = self._book.count_idle(team)
        if self._clock.read_monotonic_s() > until_s:
            return
        if idle_units <= 0:
            self._deferred[team] = (holder, deferred_units, until_s)
            return
        given_units = min(deferred_units, idle_units)
        if deferred_units > given_units:
            self._deferred[team] = (holder, deferred_units - given_units, until_s)
        self._give(make_resource(team), holder, given_units)

    def give_all(self, team: str) -> None:
        """Give all idle units of the team to one alive peer, because this entry stops."""
        for peer in self._hub.list_alive():
            observed = self._view.members.get(peer.name)
            if observed is not None and self._book.may_exchange_with(observed.member.holder):
                units = max(0, self._book.count_idle(team))
                self._give(make_resource(team), observed.member.holder, units)
                return

    def _choose_peer(self, team: str, now_s: float) -> str | None:
        row = self._view.read_portion(make_resource(team))[1]
        ranked = []
        for peer in self._hub.list_alive():
            observed = self._view.members.get(peer.name)
            if (
                observed is None
                or self._found_empty_s.get((team, peer.name), 0) > now_s - EMPTY_PEER_PAUSE_S
            ):
                continue
            recorded_units = get_number(row.recorded, observed.member.holder)
            ranked.append((recorded_units, peer.name))
        return max(ranked)[1] if ranked else None

    def _receive_request(self, sender: PeerIdentity, request: UnitsRequest) -> None:
        team = parse_team(request.resource)
        version, row = self._view.read_portion(request.resource)
        if split_holder(request.holder)[0] != sender.name or not self._book.may_exchange_with(
            request.holder
        ):
            return
        if is_settled(row.settled, request.holder) or not self._view.get_live_member(
            request.holder
        ):
            return
        own = UnitDemand(self._book.count_held(team), self._book.count_demand(team))
        asking = UnitDemand(request.held_units, request.demand_units)
        now_s = self._clock.read_monotonic_s()
        is_turn_over = now_s > self._turn_started_s.get(team, 0) + LAST_UNIT_TURN_S
        transfer_units = decide_transfer(own, asking, request.wanted_units, is_turn_over)
        idle_units = max(0, self._book.count_idle(team))
        given_units = min(transfer_units, idle_units)
        if transfer_units > given_units:
            until_s = now_s + DEFERRED_TRANSFER_S
            self._deferred[team] = (request.holder, transfer_units - given_units, until_s)
        lacking_units = request.wanted_units - given_units
        if version:
            lacking_units = min(lacking_units, row.free_units)
        if transfer_units == given_units and lacking_units > 0:
            self._request_free_units(team, request.holder, lacking_units)
        self._give(request.resource, request.holder, given_units)

    def _request_free_units(self, team: str, holder: str, units: int) -> None:
        """Let the writer allocate free units to this entry, for a peer that may not reach the store."""
        until_s = self._clock.read_monotonic_s() + DEFERRED_TRANSFER_S
        self._book.peer_requests[team] = (units, until_s)
        self._deferred[team] = (holder, units, until_s)

    def _give(self, resource: str, receiver: str, units: int) -> None:
        if not self._book.may_exchange_with(receiver):
            return
        ledger = self._book.get_ledger(resource)
        if units > 0:
            ledger = give_units(ledger, receiver, units)
            self._book.set_ledger(resource, ledger)
        self._send_transfer(resource, receiver, int(get_number(ledger.given, receiver)))

    def _send_transfer(self, resource: str, receiver: str, total_units: int) -> None:
        idle_units = max(0, self._book.count_idle(parse_team(resource)))
        transfer = UnitsTransfer(self._book.holder, receiver, resource, total_units, idle_units)
        self._hub.send(split_holder(receiver)[0], transfer)

    def _receive_transfer(self, sender: PeerIdentity, transfer: UnitsTransfer) -> None:
        if transfer.receiver != self._book.holder or not self._book.may_exchange_with(
            transfer.giver
        ):
            return
        if split_holder(transfer.giver)[0] != sender.name:
            return
        team = parse_team(transfer.resource)
        self._record_reply(team, sender.name, transfer.idle_units)
        ledger = self._book.get_ledger(transfer.resource)
        received = receive_units(ledger, transfer.giver, transfer.total_units)
        confirmation = UnitsReceived(
            transfer.giver, transfer.receiver, transfer.resource, transfer.total_units
        )
        if transfer.total_units:
            self._hub.send(sender.name, confirmation)
        if received != ledger:
            if self._book.count_held(team) <= 0:
                self._turn_started_s[team] = self._clock.read_monotonic_s()
            self._book.set_ledger(transfer.resource, received)
            self._book.wake([team])

    def _record_reply(self, team: str, peer: str, idle_units: int) -> None:
        self._last_request_s.pop(team, None)
        if idle_units > 0:
            self._found_empty_s.pop((team, peer), None)
        else:
            self._found_empty_s[team, peer] = self._clock.read_monotonic_s()

    def _receive_confirmation(self, sender: PeerIdentity, received: UnitsReceived) -> None:
        if received.giver == self._book.holder:
            key = (received.resource, received.giver, received.receiver)
            self._confirmed[key] = max(self._confirmed.get(key, 0), received.total_units)

    def _repeat_transfers(self, resource: str) -> None:
        ledger = self._book.get_ledger(resource)
        for receiver, total in ledger.given:
            confirmed_total = self._confirmed.get((resource, ledger.holder, receiver), 0)
            if total > confirmed_total and self._book.may_exchange_with(receiver):
                self._send_transfer(resource, receiver, int(total))
