"""Units that move between peers without the store."""

from comfreywind.clock import Clock
from comfreywind.decisions.portions.holder_name import is_settled, split_holder
from comfreywind.decisions.portions.ledger_changes import give_units, receive_units
from comfreywind.decisions.portions.number_map import get_number
from comfreywind.decisions.portions.unit_shares import UnitDemand, decide_transfer
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_codec import make_resource, read_team
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.peers.messages.units_received import UnitsReceived
from comfreywind.peers.messages.units_request import UnitsRequest
from comfreywind.peers.messages.units_transfer import UnitsTransfer
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity

# A request that got no answer is repeated after this time, with another peer first.
ASK_INTERVAL_S = 0.2
# A peer that had nothing to give is not asked again for this time.
EMPTY_S = 0.5
# With fewer units than entries that need some, an entry keeps its last unit for this time.
TURN_S = 1.0
# Units that come back within this time still go to the peer that asked for them.
OWED_S = 0.5


class UnitExchange:
    """Asks peers for units that waiting requests need, and gives units to peers that ask."""

    def __init__(self, hub: PeerHub, book: PortionBook, view: PortionView, clock: Clock) -> None:
        """Answer the requests of peers."""
        self._hub = hub
        self._book = book
        self._view = view
        self._clock = clock
        self._asked_s: dict[str, float] = {}
        self._empty_s: dict[tuple[str, str], float] = {}
        self._turn_started_s: dict[str, float] = {}
        self._owed: dict[str, tuple[str, int, float]] = {}
        self._confirmed: dict[tuple[str, str, str], int] = {}
        hub.subscribe(UnitsRequest, self._receive_request)
        hub.subscribe(UnitsTransfer, self._receive_transfer)
        hub.subscribe(UnitsReceived, self._receive_confirmation)

    def tick(self) -> None:
        """Repeat unconfirmed transfers and ask for what is still missing."""
        if not self._book.is_valid():
            return
        for team in list(self._owed):
            self.give_owed(team)
        for resource in self._book.list_resources():
            self._repeat_transfers(resource)
        for team, waiting_count in list(self._book.waiting.items()):
            if waiting_count > 0:
                self.ask(team)

    def ask(self, team: str) -> None:
        """Ask the peer that probably has most units, unless a request is under way."""
        wanted_units = self._book.waiting[team] - max(0, self._book.count_idle(team))
        now_s = self._clock.read_monotonic_s()
        if wanted_units <= 0 or self._asked_s.get(team, 0) > now_s - ASK_INTERVAL_S:
            return
        peer = self._choose_peer(team, now_s)
        if peer is None or not self._book.is_valid():
            return
        self._asked_s[team] = now_s
        # The mark is taken back by an answer; without one, another peer is asked next.
        self._empty_s[team, peer] = now_s
        request = UnitsRequest(
            self._book.holder,
            make_resource(team),
            wanted_units,
            self._book.count_held(team),
            self._book.count_demand(team),
        )
        self._hub.send(peer, request)

    def give_owed(self, team: str) -> None:
        """Give units that came back to the peer that asked when none was idle."""
        if team not in self._owed:
            return
        holder, owed_units, until_s = self._owed.pop(team)
        idle_units = self._book.count_idle(team)
        if self._clock.read_monotonic_s() > until_s:
            return
        if idle_units <= 0:
            self._owed[team] = (holder, owed_units, until_s)
            return
        given_units = min(owed_units, idle_units)
        if owed_units > given_units:
            self._owed[team] = (holder, owed_units - given_units, until_s)
        self._give(make_resource(team), holder, given_units)

    def give_all(self, team: str) -> None:
        """Give all idle units of the team to some peer, before this entry stops."""
        for peer in self._hub.list_alive():
            seen = self._view.members.get(peer.name)
            if seen is not None and self._book.may_trade(seen.member.holder):
                units = max(0, self._book.count_idle(team))
                self._give(make_resource(team), seen.member.holder, units)
                return

    def _choose_peer(self, team: str, now_s: float) -> str | None:
        row = self._view.read_portion(make_resource(team))[1]
        ranked = []
        for peer in self._hub.list_alive():
            seen = self._view.members.get(peer.name)
            if seen is None or self._empty_s.get((team, peer.name), 0) > now_s - EMPTY_S:
                continue
            recorded_units = get_number(row.recorded, seen.member.holder)
            ranked.append((recorded_units, peer.name))
        return max(ranked)[1] if ranked else None

    def _receive_request(self, sender: PeerIdentity, request: UnitsRequest) -> None:
        team = read_team(request.resource)
        version, row = self._view.read_portion(request.resource)
        if split_holder(request.holder)[0] != sender.name or not self._book.may_trade(
            request.holder
        ):
            return
        if is_settled(row.settled, request.holder) or not self._view.find_live(request.holder):
            return
        own = UnitDemand(self._book.count_held(team), self._book.count_demand(team))
        asking = UnitDemand(request.held_units, request.demand_units)
        now_s = self._clock.read_monotonic_s()
        is_turn_over = now_s > self._turn_started_s.get(team, 0) + TURN_S
        transfer_units = decide_transfer(own, asking, request.wanted_units, is_turn_over)
        idle_units = max(0, self._book.count_idle(team))
        given_units = min(transfer_units, idle_units)
        if transfer_units > given_units:
            until_s = now_s + OWED_S
            self._owed[team] = (request.holder, transfer_units - given_units, until_s)
        lacking_units = request.wanted_units - given_units
        if version:
            lacking_units = min(lacking_units, row.free_units)
        if transfer_units == given_units and lacking_units > 0:
            self._take_for_peer(team, request.holder, lacking_units)
        self._give(request.resource, request.holder, given_units)

    def _take_for_peer(self, team: str, holder: str, units: int) -> None:
        """Take free units for a peer, which may be cut off from the store."""
        until_s = self._clock.read_monotonic_s() + OWED_S
        self._book.peer_wants[team] = (units, until_s)
        self._owed[team] = (holder, units, until_s)

    def _give(self, resource: str, receiver: str, units: int) -> None:
        if not self._book.may_trade(receiver):
            return
        ledger = self._book.find_ledger(resource)
        if units > 0:
            ledger = give_units(ledger, receiver, units)
            self._book.set_ledger(resource, ledger)
        self._send_transfer(resource, receiver, int(get_number(ledger.given, receiver)))

    def _send_transfer(self, resource: str, receiver: str, total_units: int) -> None:
        idle_units = max(0, self._book.count_idle(read_team(resource)))
        transfer = UnitsTransfer(self._book.holder, receiver, resource, total_units, idle_units)
        self._hub.send(split_holder(receiver)[0], transfer)

    def _receive_transfer(self, sender: PeerIdentity, transfer: UnitsTransfer) -> None:
        if transfer.receiver != self._book.holder or not self._book.may_trade(transfer.giver):
            return
        if split_holder(transfer.giver)[0] != sender.name:
            return
        team = read_team(transfer.resource)
        self._note_answer(team, sender.name, transfer.idle_units)
        ledger = self._book.find_ledger(transfer.resource)
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

    def _note_answer(self, team: str, peer: str, idle_units: int) -> None:
        self._asked_s.pop(team, None)
        if idle_units > 0:
            self._empty_s.pop((team, peer), None)
        else:
            self._empty_s[team, peer] = self._clock.read_monotonic_s()

    def _receive_confirmation(self, sender: PeerIdentity, received: UnitsReceived) -> None:
        if received.giver == self._book.holder:
            key = (received.resource, received.giver, received.receiver)
            self._confirmed[key] = max(self._confirmed.get(key, 0), received.total_units)

    def _repeat_transfers(self, resource: str) -> None:
        ledger = self._book.find_ledger(resource)
        for receiver, total in ledger.given:
            confirmed_total = self._confirmed.get((resource, ledger.holder, receiver), 0)
            if total > confirmed_total and self._book.may_trade(receiver):
                self._send_transfer(resource, receiver, int(total))
