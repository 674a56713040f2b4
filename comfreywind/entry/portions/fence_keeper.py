"""Fences members that no longer renew, and agrees to fences."""

import logging
from dataclasses import replace

from comfreywind.clock import Clock
from comfreywind.decisions.portions.fence_attempt import (
    FenceAttempt,
    add_agreement,
    collect_flows,
    is_expired,
    list_missing_members,
)
from comfreywind.decisions.portions.session_effects import AgreeToFence
from comfreywind.decisions.portions.session_events import FenceRequested, RenewalObserved
from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.entry.portions.failure_detector import FailureDetector
from comfreywind.entry.portions.member_row import encode_member_row
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_view import PortionView, SeenMember
from comfreywind.entry.portions.turn_order import RANK_DELAY_S, VIEW_AGE_LIMIT_S, read_rank
from comfreywind.errors import PlatformError
from comfreywind.peers.messages.fence_query import FenceQuery
from comfreywind.peers.messages.fence_reply import FenceReply
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import ROW_VIEW, TABLE_MEMBERS, TABLE_MEMBERSHIP
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.timings import Timings

# A process that is frozen for longer finds its row gone, which it takes as a fence.
KEEP_FENCED_S = 60.0

log = logging.getLogger('comfreywind.portions')


class FenceKeeper:
    """Collects the agreements that a fence needs and writes it."""

    def __init__(
        self,
        own_name: str,
        hub: PeerHub,
        tables: TableClient,
        view: PortionView,
        book: PortionBook,
        clock: Clock,
        timings: Timings,
        decisions: DecisionLog,
    ) -> None:
        """Answer the queries of peers and follow the renewals of all members."""
        self._own_name = own_name
        self._hub = hub
        self._tables = tables
        self._view = view
        self._book = book
        self._clock = clock
        self._timing = SessionTiming(timings.session_ttl_s, timings.clock_drift_ratio)
        self._decisions = decisions
        self._cases: dict[str, FenceAttempt] = {}
        self.failure_detector = FailureDetector(hub, view, clock)
        hub.subscribe(FenceQuery, self._receive_query)
        hub.subscribe(FenceReply, self._receive_reply)
        view.subscribe(self._see_renewals)

    async def tick(self) -> None:
        """Go on with the fence of every member whose session has ended."""
        if self._view.read_age_s() > VIEW_AGE_LIMIT_S:
            return
        await self._remove_old_rows()
        for seen in self._view.list_live():
            if seen.member.holder != self._book.holder and self._is_due(seen):
                await self._advance(seen)

    async def _remove_old_rows(self) -> None:
        """Remove rows of holders that were fenced long ago and whose units are settled."""
        if not self._book.is_valid() or self._read_rank(own_former=False):
            return
        oldest_s = self._clock.read_monotonic_s() - KEEP_FENCED_S
        for seen in list(self._view.members.values()):
            old = seen.member.fenced and seen.since_s < oldest_s
            if old and self._view.is_settled(seen.member):
                write = RowWrite(TABLE_MEMBERS, seen.member.name, seen.version, None)
                await self._commit_and_poll([write], f'the removal of {seen.member.holder}')

    def _is_due(self, seen: SeenMember) -> bool:
        own_former = seen.member.name == self._own_name
        if not own_former and not self._book.is_valid():
            return False
        now_s = self._clock.read_monotonic_s() - self._read_rank(own_former) * RANK_DELAY_S
        return is_expired(self._find_case(seen), self._timing, now_s)

    def _read_rank(self, own_former: bool) -> int:
        if own_former:
            return 0
        return read_rank(self._own_name, self._hub)

    def _find_case(self, seen: SeenMember) -> FenceAttempt:
        holder = seen.member.holder
        known = self._cases.get(holder)
        agreements = known.agreements if known else ()
        if known is not None and known.renewal_number != seen.member.renewal_number:
            agreements = ()
        case = FenceAttempt(holder, seen.member.renewal_number, seen.since_s, agreements)
        self._cases[holder] = case
        return case

    async def _advance(self, seen: SeenMember) -> None:
        holder = seen.member.holder
        self._agree_myself(holder)
        case = self._cases[holder]
        missing = list_missing_members(case, self._list_needed())
        if not missing:
            await self._commit(seen, case)
            return
        query = FenceQuery(holder, case.renewal_number)
        for member in missing:
            self._hub.send(member.partition('@')[0], query)
        await self.failure_detector.probe(missing)

    def _agree_myself(self, holder: str) -> None:
        """Agree as a member; a process that has not joined has promised nothing."""
        case = self._cases[holder]
        now_s = self._clock.read_monotonic_s()
        effects = self._book.apply(FenceRequested(holder, case.renewal_number, now_s))
        if effects:
            agreement = (self._book.holder, self._book.list_flows_with(holder))
            self._cases[holder] = add_agreement(case, case.renewal_number, agreement)

    def _list_needed(self) -> frozenset[str]:
        """Return the members whose agreement is needed.

        A member that was fenced or proven dead may have given a promise just before that.
        """
        oldest_s = self._clock.read_monotonic_s() - self._timing.observed_ttl_s
        return frozenset(
            seen.member.holder
            for seen in self._view.members.values()
            if not self._is_excused(seen, oldest_s)
        )

    def _is_excused(self, seen: SeenMember, oldest_s: float) -> bool:
        if seen.member.fenced and seen.since_s <= oldest_s:
            return True
        dead_s = self.failure_detector.read_dead_since_s(seen.member)
        return dead_s is not None and dead_s <= oldest_s

    async def _commit(self, seen: SeenMember, case: FenceAttempt) -> None:
        fenced = replace(seen.member, fenced=True, fenced_flows=collect_flows(case))
        writes = [
            RowWrite(TABLE_MEMBERS, fenced.name, seen.version, encode_member_row(fenced)),
            RowWrite(TABLE_MEMBERSHIP, ROW_VIEW, self._view.view_version, {}),
        ]
        self._cases.pop(fenced.holder, None)
        if not await self._commit_and_poll(writes, f'the fence of {fenced.holder}'):
            return
        log.warning('fenced %s', fenced.holder)
        self._decisions.record(
            'portion',
            f'entry/{fenced.name}',
            'fenced: no renewal and all members agreed',
            incarnation=fenced.incarnation,
            renewal_number=fenced.renewal_number,
        )

    async def _commit_and_poll(self, writes: list[RowWrite], name: str) -> bool:
        """Return whether the writes are known to have taken effect."""
        committed = True
        try:
            await self._tables.commit(writes)
        except PlatformError as error:
            committed = False
            log.warning('%s was refused or has no known outcome: %s', name, error)
        try:
            await self._view.poll()
        except PlatformError as error:
            log.warning("the members can't be read: %s", error)
        return committed

    def _receive_query(self, sender: PeerIdentity, query: FenceQuery) -> None:
        if self._book.leaving or query.holder == self._book.holder:
            return
        now_s = self._clock.read_monotonic_s()
        effects = self._book.apply(FenceRequested(query.holder, query.renewal_number, now_s))
        if effects != (AgreeToFence(query.holder, query.renewal_number),):
            return
        flows = tuple(
            (resource, tuple((flow, int(total)) for flow, total in totals))
            for resource, totals in self._book.list_flows_with(query.holder)
        )
        reply = FenceReply(self._book.holder, query.holder, query.renewal_number, flows)
        self._hub.send(sender.name, reply)

    def _receive_reply(self, sender: PeerIdentity, reply: FenceReply) -> None:
        case = self._cases.get(reply.holder)
        if case is None or reply.member.partition('@')[0] != sender.name:
            return
        agreement = (reply.member, reply.flows)
        self._cases[reply.holder] = add_agreement(case, reply.renewal_number, agreement)

    def _see_renewals(self) -> None:
        for seen in self._view.list_live():
            self._book.apply(RenewalObserved(seen.member.holder, seen.member.renewal_number))
        live = {seen.member.holder for seen in self._view.list_live()}
        self._cases = {holder: case for holder, case in self._cases.items() if holder in live}
