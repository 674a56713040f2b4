"""The units of the fleet-wide ceilings that this entry holds."""

import logging

import trio

from comfreywind.clock import Clock
from comfreywind.entry.portions.fence_keeper import FenceKeeper
from comfreywind.entry.portions.member_row import MemberRow
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_codec import read_team
from comfreywind.entry.portions.portion_leaver import PortionLeaver
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.entry.portions.portion_writer import PortionWriter
from comfreywind.entry.portions.promise_exchange import PromiseExchange
from comfreywind.entry.portions.session_keeper import SessionKeeper
from comfreywind.entry.portions.unit_exchange import UnitExchange
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.unit_source import WakeTeam
from comfreywind.errors import PlatformError
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.platform.table_client import TableClient
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.address import parse_address
from comfreywind.settings.timings import Timings

PEER_TICK_S = 0.1
FENCE_TICK_S = 0.25
WRITE_TICK_S = 0.25
# Rows are written at most this often, also when requests wait for units.
WRITE_GAP_S = 0.05

log = logging.getLogger('comfreywind.portions')


class PortionKeeper:
    """Implements `UnitSource` by the portion protocol; owns session, ledgers and rows."""

    def __init__(
        self,
        member: MemberRow,
        hub: PeerHub,
        tables: TableClient,
        rules_view: RulesView,
        clock: Clock,
        timings: Timings,
        decisions: DecisionLog,
    ) -> None:
        """Prepare the parts; `run` joins the members. `member` describes this process."""
        self._hub = hub
        self._clock = clock
        self._timings = timings
        self.view = PortionView(tables, clock)
        self.book = PortionBook(self.view, rules_view, clock)
        self._session = SessionKeeper(member, tables, self.view, self.book, clock, timings)
        self._promises = PromiseExchange(hub, self.view, self.book, clock, timings)
        self._exchange = UnitExchange(hub, self.book, self.view, clock)
        self._fences = FenceKeeper(
            member.name, hub, tables, self.view, self.book, clock, timings, decisions
        )
        self._writer = PortionWriter(
            member.name,
            hub,
            tables,
            self.view,
            self.book,
            rules_view,
            clock,
            timings,
            decisions,
        )
        self._leaver = PortionLeaver(
            member.name, tables, self.view, self.book, self._exchange, clock
        )
        self._demand = trio.Event()
        self._was_valid = False
        self._scope = trio.CancelScope()
        self.view.subscribe(self._see_view)
        rules_view.subscribe(self._see_rules)

    def try_acquire_unit(self, team: str) -> bool:
        """Take one unit of the team's ceiling if this entry holds a free one and may use it."""
        return self.book.try_acquire_unit(team)

    def release_unit(self, team: str) -> None:
        """Return a unit whose request has ended."""
        self.book.release_unit(team)
        self._exchange.give_owed(team)

    def report_waiting(self, team: str, waiting_count: int) -> None:
        """Ask peers and the store for units for the waiting requests."""
        self.book.waiting[team] = waiting_count
        if waiting_count > 0:
            self._exchange.ask(team)
            self._demand.set()

    def read_session_left_s(self) -> float:
        """Return for how many seconds this entry may still start work; negative for none."""
        return self.book.read_session_left_s()

    def subscribe(self, wake_team: WakeTeam) -> None:
        """Call the function with a team's name when `try_acquire_unit` may succeed for it again."""
        self.book.subscribe(wake_team)

    async def run(self) -> None:
        """Keep session and portions until cancelled or until `leave`."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._session.run)
                nursery.start_soon(self._poll, self._timings.feed_interval_s)
                nursery.start_soon(self._run_peers)
                nursery.start_soon(self._run_fences)
                nursery.start_soon(self._run_writer)

    async def leave(self) -> None:
        """Return all units and leave the members; call it when no request is in flight."""
        self._scope.cancel()
        await self._leaver.leave(self._writer.read_reclaim_wait_s())

    async def _poll(self, interval_s: float) -> None:
        while True:
            try:
                await self.view.poll()
            except PlatformError as error:
                log.warning("members and portions can't be read: %s", error)
            await trio.sleep(interval_s)

    async def _run_peers(self) -> None:
        while True:
            self._promises.tick()
            self._exchange.tick()
            valid = self.book.is_valid()
            if valid and not self._was_valid:
                self._wake_all()
            self._was_valid = valid
            await trio.sleep(PEER_TICK_S)

    async def _run_fences(self) -> None:
        while True:
            await self._fences.tick()
            await trio.sleep(FENCE_TICK_S)

    async def _run_writer(self) -> None:
        while True:
            with trio.move_on_after(WRITE_TICK_S):
                await self._demand.wait()
            self._demand = trio.Event()
            await self._writer.tick()
            await trio.sleep(WRITE_GAP_S)

    def _see_view(self) -> None:
        # Fenced members stay listed until their rows are removed: operators are told of them.
        members = {
            name: parse_address(seen.member.peer_address)
            for name, seen in self.view.members.items()
        }
        if members:
            self._hub.set_members(members)
        woken = [
            read_team(resource)
            for resource in sorted(self.view.changed_portions)
            if self.book.see_portion(resource)
        ]
        self.book.wake(woken)

    def _see_rules(self) -> None:
        """Note that ceilings may have changed."""
        self._demand.set()

    def _wake_all(self) -> None:
        teams = {read_team(resource) for resource in self.book.list_resources()}
        teams.update(self.book.waiting)
        self.book.wake(sorted(teams))
