"""An entry with little demand gets a unit while its two peers exchange units with each other.

The clients of the peers send their requests to both alternately, so that units move back and forth
between the two.
"""

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from comfreywind.decisions.portions.guard import SessionState
from comfreywind.decisions.portions.holder_name import make_holder
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_codec import make_resource
from comfreywind.entry.portions.unit_exchange import (
    EMPTY_PEER_PAUSE_S,
    LAST_UNIT_TURN_S,
    UnitExchange,
)
from tests.helpers.fake_hub import FakeHub
from tests.helpers.manual_clock import ManualClock

TEAM = 'public'
RESOURCE = make_resource(TEAM)
CEILING_UNITS = 4
NAMES = ['entry-1', 'entry-2', 'entry-3']
TICK_S = 0.01
WORK_S = (0.1, 0.3)
WARM_UP_S = 1.0
# A peer holds its unit for one turn; this entry, if refused, then asks again after the pause; and the
# work that runs at that moment has to end.
LONGEST_WAIT_S = LAST_UNIT_TURN_S + EMPTY_PEER_PAUSE_S + WORK_S[1]


class FakeView:
    """A view with the given members and one portion row that never changes."""

    def __init__(self, names: list[str]) -> None:
        """Record all units of the ceiling for the second entry."""
        holders = {name: make_holder(name, 1) for name in names}
        self.row = PortionRow(CEILING_UNITS, 1, ((holders[names[1]], CEILING_UNITS),))
        self.members = {
            name: SimpleNamespace(member=SimpleNamespace(holder=holder))
            for name, holder in holders.items()
        }
        self.portions = {RESOURCE: (1, self.row)}

    def read_portion(self, resource: str) -> tuple[int, PortionRow]:
        """Return the version and the row."""
        return self.portions[resource]

    def get_live_member(self, holder: str) -> object:
        """Return a value that is not None, as every holder is a member here."""
        return holder


class Entry:
    """The portion book and the unit exchange of one entry."""

    def __init__(self, name: str, view: Any, clock: ManualClock, network: Any) -> None:
        """Join with a session that lasts longer than the test."""
        rules = SimpleNamespace(
            rules=SimpleNamespace(
                teams={TEAM: SimpleNamespace(ceiling_units=CEILING_UNITS)}, version=1
            )
        )
        rules_view: Any = rules
        self.book = PortionBook(view, rules_view, clock)
        hub: Any = FakeHub(name, network)
        self.exchange = UnitExchange(hub, self.book, view, clock)
        timing = SessionTiming(4, 1)
        self.book.join(SessionState(make_holder(name, 1), timing, 0, valid_until_s=1e9))


class Client:
    """Sends requests to two entries alternately, each after the work of the last one has ended."""

    def __init__(self, entries: list[Entry], random: Random) -> None:
        """Choose two entries and let the first request wait at one of them."""
        self._random = random
        self._other, self._entry = random.sample(entries, 2)
        self._ends_s = -1.0
        self._entry.book.waiting[TEAM] += 1

    def step(self, now_s: float) -> None:
        """Start the waiting request if a unit is idle, or send the next one when the work has ended."""
        book = self._entry.book
        if self._ends_s < 0 and book.try_acquire_unit(TEAM):
            book.waiting[TEAM] -= 1
            self._ends_s = now_s + self._random.uniform(*WORK_S)
        elif 0 <= self._ends_s <= now_s:
            book.release_unit(TEAM)
            self._entry.exchange.give_deferred_units(TEAM)
            self._entry, self._other, self._ends_s = self._other, self._entry, -1.0
            self._entry.book.waiting[TEAM] += 1
            self._entry.exchange.ask(TEAM)


@pytest.mark.parametrize('seed', range(30))
def test_peers_that_trade_starve_nobody(seed: int) -> None:
    """A unit from a peer does not restart the turn of an entry that holds units already.

    Otherwise, peers that exchange units would restart their turns for ever, and would never give a
    unit to the entry that has none.
    """
    clock, network, random = ManualClock(), {}, Random(seed)
    view = FakeView(NAMES)
    waiting, *busy = entries = [Entry(name, view, clock, network) for name in NAMES]
    clients = [Client(busy, random) for _ in range(CEILING_UNITS)]
    started_s = clock.read_monotonic_s()
    now_s, taken = started_s, False
    while not taken and now_s < started_s + WARM_UP_S + LONGEST_WAIT_S:
        now_s = clock.read_monotonic_s()
        for client in clients:
            client.step(now_s)
        if now_s > started_s + WARM_UP_S:
            waiting.book.waiting[TEAM] = 1
            taken = waiting.book.try_acquire_unit(TEAM)
        for entry in entries:
            entry.exchange.tick()
        clock.advance(TICK_S)
    assert taken
