"""An entry with little demand gets units while its peers trade theirs with each other.

Pattern: clients that move between entries together, so that units go to and fro between two of three.
"""

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from comfreywind.decisions.portions.holder_name import make_holder
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.session_state import SessionState
from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_codec import make_resource
from comfreywind.entry.portions.unit_exchange import EMPTY_S, TURN_S, UnitExchange
from tests.helpers.fake_hub import FakeHub
from tests.helpers.manual_clock import ManualClock

TEAM = 'public'
RESOURCE = make_resource(TEAM)
CEILING_UNITS = 4
NAMES = ['entry-1', 'entry-2', 'entry-3']
TICK_S = 0.01
WORK_S = (0.1, 0.3)
WARM_UP_S = 1.0
# A turn, the next request after a refused one, and the work that runs then.
LONGEST_WAIT_S = TURN_S + EMPTY_S + WORK_S[1]


class FakeView:
    """Shows three members and one row that stays as it is."""

    def __init__(self, names: list[str]) -> None:
        """Record the whole ceiling under the second entry."""
        holders = {name: make_holder(name, 1) for name in names}
        self.row = PortionRow(CEILING_UNITS, 1, ((holders[names[1]], CEILING_UNITS),))
        self.members = {
            name: SimpleNamespace(member=SimpleNamespace(holder=holder))
            for name, holder in holders.items()
        }
        self.portions = {RESOURCE: (1, self.row)}

    def read_portion(self, resource: str) -> tuple[int, PortionRow]:
        """Return the row."""
        return self.portions[resource]

    def find_live(self, holder: str) -> object:
        """Return a member for every holder."""
        return holder


class Entry:
    """One entry with its units."""

    def __init__(self, name: str, view: Any, clock: ManualClock, network: Any) -> None:
        """Join with a session that lasts."""
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
    """Sends a request to two entries in turn, the next when the answer is there."""

    def __init__(self, entries: list[Entry], random: Random) -> None:
        """Wait at one of the entries."""
        self._random = random
        self._other, self._entry = random.sample(entries, 2)
        self._ends_s = -1.0
        self._entry.book.waiting[TEAM] += 1

    def step(self, now_s: float) -> None:
        """Go on to the other entry when the work has ended, or start what waits."""
        book = self._entry.book
        if self._ends_s < 0 and book.try_acquire_unit(TEAM):
            book.waiting[TEAM] -= 1
            self._ends_s = now_s + self._random.uniform(*WORK_S)
        elif 0 <= self._ends_s <= now_s:
            book.release_unit(TEAM)
            self._entry.exchange.give_owed(TEAM)
            self._entry, self._other, self._ends_s = self._other, self._entry, -1.0
            self._entry.book.waiting[TEAM] += 1
            self._entry.exchange.ask(TEAM)


@pytest.mark.parametrize('seed', range(30))
def test_peers_that_trade_starve_nobody(seed: int) -> None:
    """Guards against a turn that every unit from a peer begins anew."""
    clock, network, random = ManualClock(), {}, Random(seed)
    view = FakeView(NAMES)
    waiting, *busy = entries = [Entry(name, view, clock, network) for name in NAMES]
    clients = [Client(busy, random) for _ in range(CEILING_UNITS)]
    begun_s = clock.read_monotonic_s()
    now_s, taken = begun_s, False
    while not taken and now_s < begun_s + WARM_UP_S + LONGEST_WAIT_S:
        now_s = clock.read_monotonic_s()
        for client in clients:
            client.step(now_s)
        if now_s > begun_s + WARM_UP_S:
            waiting.book.waiting[TEAM] = 1
            taken = waiting.book.try_acquire_unit(TEAM)
        for entry in entries:
            entry.exchange.tick()
        clock.advance(TICK_S)
    assert taken
