"""Runs the tasks of the portion protocol and provides its units to the dispatcher."""

import logging

import trio

from comfreywind.clock import Clock
from comfreywind.entry.portions.fence_keeper import FenceKeeper
from comfreywind.entry.portions.member_row import MemberRow
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_codec import parse_team
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

PEER_INTERVAL_S = 0.1
FENCE_INTERVAL_S = 0.25
WRITE_INTERVAL_S = 0.25
# Shortest pause between two writes of portion rows, also when requests wait for units.
MIN_WRITE_GAP_S = 0.05

log = logging.getLogger('comfreywind.portions')


class PortionKeeper:
    """Implements `UnitSource` by the portion protocol; creates and runs its components."""

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
        """Create the components; `run` joins the members. `member` describes this process."""
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
        self._write_requested = trio.Event()
        self._was_valid = False
        self._scope = trio.CancelScope()
        self.view.subscribe(self._handle_view_change)
        rules_view.subscribe(self._handle_rules_change)

    def try_acquire_unit(self, team: str) -> bool:
        """Take one unit of the team's ceiling; return False if none is idle or no work may start."""
        return self.book.try_acquire_unit(team)

    def release_unit(self, team: str) -> None:
        """Mark the unit of an ended request as idle, and give it to a peer if one waits for it."""
        self.book.release_unit(team)
        self._exchange.give_deferred_units(team)

    def report_waiting(self, team: str, waiting_count: int) -> None:
        """Record how many requests of the team wait, and request units for them."""
        self.book.waiting[team] = waiting_count
        if waiting_count > 0:
            self._exchange.ask(team)
            self._write_requested.set()

    def read_session_left_s(self) -> float:
        """Return the seconds for which this entry may still start work, negative if it may not."""
        return self.book.read_session_left_s()

    def subscribe(self, wake_team: WakeTeam) -> None:
        """Call the function with a team's name when `try_acquire_unit` may succeed for it again."""
        self.book.subscribe(wake_team)

    async def run(self) -> None:
        """Join the members, and run session and portions until cancelled or until `leave`."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._session.run)
                nursery.start_soon(self._poll, self._timings.feed_interval_s)
                nursery.start_soon(self._run_exchanges)
                nursery.start_soon(self._run_fences)
                nursery.start_soon(self._run_writer)

    async def leave(self) -> None:
        """Stop `run`, return all units and leave the members; call it when no request is in flight."""
        self._scope.cancel()
        await self._leaver.leave(self._writer.read_reclaim_wait_s())

    async def _poll(self, interval_s: float) -> None:
        while True:
            try:
                await self.view.poll()
            except PlatformError as error:
                log.warning("the members and portions can't be read: %s", error)
            await trio.sleep(interval_s)

    async def _run_exchanges(self) -> None:
        while True:
            self._promises.tick()
            self._exchange.tick()
            valid = self.book.is_valid()
            if valid and not self._was_valid:
                self._wake_all_teams()
            self._was_valid = valid
            await trio.sleep(PEER_INTERVAL_S)

    async def _run_fences(self) -> None:
        while True:
            await self._fences.tick()
            await trio.sleep(FENCE_INTERVAL_S)

    async def _run_writer(self) -> None:
        while True:
            with trio.move_on_after(WRITE_INTERVAL_S):
                await self._write_requested.wait()
            self._write_requested = trio.Event()
            await self._writer.tick()
            await trio.sleep(MIN_WRITE_GAP_S)

    def _handle_view_change(self) -> None:
        # Fenced members stay members of the hub until their rows are removed, so that operators see
        # them.
        members = {
            name: parse_address(observed.member.peer_address)
            for name, observed in self.view.members.items()
        }
        if members:
            self._hub.set_members(members)
        unblocked_teams = [
            parse_team(resource)
            for resource in sorted(self.view.changed_portions)
            if self.book.refresh_ledger(resource)
        ]
        self.book.wake(unblocked_teams)

    def _handle_rules_change(self) -> None:
        """Run the writer now, because ceilings may have changed."""
        self._write_requested.set()

    def _wake_all_teams(self) -> None:
        teams = {parse_team(resource) for resource in self.book.list_resources()}
        teams.update(self.book.waiting)
        self.book.wake(sorted(teams))
