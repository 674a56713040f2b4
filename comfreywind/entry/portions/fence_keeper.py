"""Fences members that do not renew their session, and agrees to fences by other members."""

import logging
from dataclasses import replace

from comfreywind.clock import Clock
from comfreywind.decisions.portions.fence_case import (
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
from comfreywind.entry.portions.portion_view import ObservedMember, PortionView
from comfreywind.entry.portions.turn_order import MAX_VIEW_AGE_S, RANK_DELAY_S, compute_rank
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

# Rows of fenced holders are kept at least this long. A process that is frozen for longer may find
# its row removed and handles that as a fence.
FENCED_ROW_RETENTION_S = 60.0

log = logging.getLogger('comfreywind.portions')


class FenceKeeper:
    """Collects the agreements of the members that a fence needs, and writes the fence.

    Members that agree exchange no units with the holder any more and report all flows between them.
    """

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
        """Subscribe to the fence messages of peers and to the renewals in the view."""
        self._own_name = own_name
        self._hub = hub
        self._tables = tables
        self._view = view
        self._book = book
        self._clock = clock
        self._timing = SessionTiming(timings.session_ttl_s, timings.clock_drift_ratio)
        self._decisions = decisions
        self._attempts: dict[str, FenceAttempt] = {}
        self.failure_detector = FailureDetector(hub, view, clock)
        hub.subscribe(FenceQuery, self._receive_query)
        hub.subscribe(FenceReply, self._receive_reply)
        view.subscribe(self._handle_renewals)

    async def tick(self) -> None:
        """Query the missing agreements, or write the fence, for each member whose session has ended."""
        if self._view.read_age_s() > MAX_VIEW_AGE_S:
            return
        await self._remove_fenced_rows()
        for observed in self._view.list_live():
            if observed.member.holder != self._book.holder and self._is_due(observed):
                await self._advance_fence(observed)

    async def _remove_fenced_rows(self) -> None:
        """Remove the member rows of holders fenced long ago whose units are settled."""
        if not self._book.is_valid() or self._compute_rank(is_own_incarnation=False):
            return
        oldest_s = self._clock.read_monotonic_s() - FENCED_ROW_RETENTION_S
        for observed in list(self._view.members.values()):
            is_outdated = observed.member.fenced and observed.first_seen_s < oldest_s
            if is_outdated and self._view.is_settled(observed.member):
                write = RowWrite(TABLE_MEMBERS, observed.member.name, observed.version, None)
                await self._commit_and_poll([write], f'the removal of {observed.member.holder}')

    def _is_due(self, observed: ObservedMember) -> bool:
        is_own_incarnation = observed.member.name == self._own_name
        if not is_own_incarnation and not self._book.is_valid():
            return False
        now_s = (
            self._clock.read_monotonic_s() - self._compute_rank(is_own_incarnation) * RANK_DELAY_S
        )
        return is_expired(self._update_attempt(observed), self._timing, now_s)

    def _compute_rank(self, is_own_incarnation: bool) -> int:
        if is_own_incarnation:
            return 0
        return compute_rank(self._own_name, self._hub)

    def _update_attempt(self, observed: ObservedMember) -> FenceAttempt:
        holder = observed.member.holder
        known = self._attempts.get(holder)
        agreements = known.agreements if known else ()
        if known is not None and known.renewal_number != observed.member.renewal_number:
            agreements = ()
        attempt = FenceAttempt(
            holder, observed.member.renewal_number, observed.first_seen_s, agreements
        )
        self._attempts[holder] = attempt
        return attempt

    async def _advance_fence(self, observed: ObservedMember) -> None:
        holder = observed.member.holder
        self._add_own_agreement(holder)
        attempt = self._attempts[holder]
        missing = list_missing_members(attempt, self._list_required_members())
        if not missing:
            await self._commit_fence(observed, attempt)
            return
        query = FenceQuery(holder, attempt.renewal_number)
        for member in missing:
            self._hub.send(member.partition('@')[0], query)
        await self.failure_detector.probe(missing)

    def _add_own_agreement(self, holder: str) -> None:
        """Add the agreement of this entry, unless a promise that it gave still prevents that.

        A process that has not joined agrees to nothing: it is no member and has given no promise.
        """
        attempt = self._attempts[holder]
        now_s = self._clock.read_monotonic_s()
        effects = self._book.apply(FenceRequested(holder, attempt.renewal_number, now_s))
        if effects:
            agreement = (self._book.holder, self._book.list_flows_with(holder))
            self._attempts[holder] = add_agreement(attempt, attempt.renewal_number, agreement)

    def _list_required_members(self) -> frozenset[str]:
        """Return the members whose agreement is needed.

        A member that was fenced or has died may have given a promise just before that. Its agreement
        is needed until such a promise has certainly ended.
        """
        oldest_s = self._clock.read_monotonic_s() - self._timing.observed_ttl_s
        return frozenset(
            observed.member.holder
            for observed in self._view.members.values()
            if not self._is_exempt(observed, oldest_s)
        )

    def _is_exempt(self, observed: ObservedMember, oldest_s: float) -> bool:
        if observed.member.fenced and observed.first_seen_s <= oldest_s:
            return True
        dead_since_s = self.failure_detector.get_dead_since_s(observed.member)
        return dead_since_s is not None and dead_since_s <= oldest_s

    async def _commit_fence(self, observed: ObservedMember, attempt: FenceAttempt) -> None:
        fenced = replace(observed.member, fenced=True, fenced_flows=collect_flows(attempt))
        writes = [
            RowWrite(TABLE_MEMBERS, fenced.name, observed.version, encode_member_row(fenced)),
            RowWrite(TABLE_MEMBERSHIP, ROW_VIEW, self._view.membership_version, {}),
        ]
        self._attempts.pop(fenced.holder, None)
        if not await self._commit_and_poll(writes, f'the fence of {fenced.holder}'):
            return
        log.warning('fenced %s: no renewal, and all required members agreed', fenced.holder)
        self._decisions.record(
            'portion',
            f'entry/{fenced.name}',
            'fenced: no renewal and all members agreed',
            incarnation=fenced.incarnation,
            renewal_number=fenced.renewal_number,
        )

    async def _commit_and_poll(self, writes: list[RowWrite], name: str) -> bool:
        """Commit the writes and refresh the view; return whether the writes are known to be applied."""
        committed = True
        try:
            await self._tables.commit(writes)
        except PlatformError as error:
            committed = False
            log.warning('%s failed or its outcome is unknown: %s', name, error)
        try:
            await self._view.poll()
        except PlatformError as error:
            log.warning("the members and portions can't be read: %s", error)
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
        attempt = self._attempts.get(reply.holder)
        if attempt is None or reply.member.partition('@')[0] != sender.name:
            return
        agreement = (reply.member, reply.flows)
        self._attempts[reply.holder] = add_agreement(attempt, reply.renewal_number, agreement)

    def _handle_renewals(self) -> None:
        for observed in self._view.list_live():
            self._book.apply(
                RenewalObserved(observed.member.holder, observed.member.renewal_number)
            )
        live = {observed.member.holder for observed in self._view.list_live()}
        self._attempts = {
            holder: attempt for holder, attempt in self._attempts.items() if holder in live
        }
