"""Joins this entry to the members and renews its session in the store."""

import logging
from dataclasses import replace

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.portions.guard import SessionState
from comfreywind.decisions.portions.holder_name import make_holder
from comfreywind.decisions.portions.session_events import RenewalConfirmed
from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.decisions.portions.totals import get_number
from comfreywind.entry.portions.member_row import MemberRow, encode_member_row
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.errors import PlatformError, RowConflictError
from comfreywind.platform.row_write import MISSING_VERSION, RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import ROW_VIEW, TABLE_MEMBERS, TABLE_MEMBERSHIP
from comfreywind.settings.timings import Timings

JOIN_RETRY_INTERVAL_S = 0.2
NANOSECONDS_PER_S = 1_000_000_000

log = logging.getLogger('comfreywind.portions')


class SessionKeeper:
    """Writes this entry's row in the table `members`.

    Each write has its own renewal number. If the reply of a write is lost, the renewal number in the
    row tells which write took effect; the time to live of the session then counts from the moment
    before that write was sent.
    """

    def __init__(
        self,
        member: MemberRow,
        tables: TableClient,
        view: PortionView,
        book: PortionBook,
        clock: Clock,
        timings: Timings,
    ) -> None:
        """Subscribe to the view; `member` has the incarnation of this process and renewal number 0."""
        self._member = member
        self._tables = tables
        self._view = view
        self._book = book
        self._clock = clock
        self._renew_interval_s = timings.renew_interval_s
        self._timing = SessionTiming(timings.session_ttl_s, timings.clock_drift_ratio)
        self._own_version = MISSING_VERSION
        self._sent_times_s: dict[tuple[int, int], float] = {}
        view.subscribe(self._handle_own_row)

    async def run(self) -> None:
        """Join, then renew at a fixed interval until this entry leaves; after a fence, join again."""
        while not self._book.leaving:
            started_s = self._clock.read_monotonic_s()
            joined = self._book.is_joined()
            try:
                await (self._renew() if joined else self._join())
            except RowConflictError:
                log.info('the member row of this entry was changed by another write; trying again')
            except PlatformError as error:
                log.warning(
                    "the session can't be started or renewed in the store, trying again: %s", error
                )
            interval_s = self._renew_interval_s if self._book.is_joined() else JOIN_RETRY_INTERVAL_S
            elapsed_s = self._clock.read_monotonic_s() - started_s
            await trio.sleep(max(0, interval_s - elapsed_s))

    async def _renew(self) -> None:
        self._member = replace(self._member, renewal_number=self._member.renewal_number + 1)
        await self._write_own_row([])

    async def _join(self) -> None:
        await self._view.poll()
        if self._book.is_joined():
            return
        observed = self._view.members.get(self._member.name)
        if observed is not None and self._has_unsettled_units(observed.member):
            return
        self._own_version = observed.version if observed else MISSING_VERSION
        self._member = replace(
            self._member, incarnation=self._choose_incarnation(), renewal_number=1
        )
        await self._write_own_row([RowWrite(TABLE_MEMBERSHIP, ROW_VIEW, None, {})])

    def _has_unsettled_units(self, former: MemberRow) -> bool:
        """Return whether the earlier incarnation is not fenced, or its units not settled, yet.

        Its row must not be replaced before that, because settling needs the `fenced_flows` in it.
        """
        return not former.fenced or not self._view.is_settled(former)

    def _choose_incarnation(self) -> int:
        """Return an incarnation above all known ones of this name.

        The first join uses the incarnation of the process, later ones the wall time in nanoseconds.
        """
        name = self._member.name
        known = [get_number(row.settled, name) for _, row in self._view.portions.values()]
        observed = self._view.members.get(name)
        if observed is not None:
            known.append(observed.member.incarnation)
        incarnation = self._member.incarnation
        if self._book.session_state is not None:
            incarnation = int(self._clock.read_utc().timestamp() * NANOSECONDS_PER_S)
        return max(incarnation, *(int(number) + 1 for number in known), 1)

    async def _write_own_row(self, other_writes: list[RowWrite]) -> None:
        member = self._member
        sent_s = self._clock.read_monotonic_s()
        self._sent_times_s[member.incarnation, member.renewal_number] = sent_s
        write = RowWrite(TABLE_MEMBERS, member.name, self._own_version, encode_member_row(member))
        try:
            versions = await self._tables.commit([write, *other_writes])
        except RowConflictError:
            await self._view.poll()
            self._handle_missing_row()
            raise
        self._handle_applied_write(member, versions[0])

    def _handle_own_row(self) -> None:
        """Detect a fence, or a write that took effect though its reply was lost."""
        observed = self._view.members.get(self._member.name)
        if observed is None or observed.version < self._own_version:
            return
        member = observed.member
        if member.fenced:
            self._handle_fence(member)
        elif (member.incarnation, member.renewal_number) in self._sent_times_s:
            self._handle_applied_write(member, observed.version)

    def _handle_missing_row(self) -> None:
        """Handle a missing or replaced row as a fence, because rows of fenced holders get removed."""
        observed = self._view.members.get(self._member.name)
        if self._book.is_joined() and (
            observed is None or observed.member.holder != self._book.holder
        ):
            log.warning(
                'the member row of %s was removed or replaced; joining again', self._book.holder
            )
            self._book.mark_fenced()

    def _handle_fence(self, member: MemberRow) -> None:
        if self._book.is_joined() and member.holder == self._book.holder:
            log.warning('this entry was fenced as %s; joining again', member.holder)
            self._book.mark_fenced()

    def _handle_applied_write(self, member: MemberRow, version: int) -> None:
        if version < self._own_version:
            return
        self._own_version = version
        sent_s = self._sent_times_s[member.incarnation, member.renewal_number]
        if self._book.holder != member.holder:
            self._start_incarnation(member)
        self._book.apply(RenewalConfirmed(sent_s, member.renewal_number))
        # Earlier writes can't take effect any more, because their condition on the version fails.
        self._sent_times_s = {
            attempt: sent_at_s
            for attempt, sent_at_s in self._sent_times_s.items()
            if attempt >= (member.incarnation, member.renewal_number)
        }

    def _start_incarnation(self, member: MemberRow) -> None:
        silent_until_s: float = 0
        if self._book.session_state is None:
            # An earlier process of this name may have given promises that this process doesn't know.
            silent_until_s = self._clock.read_monotonic_s() + self._timing.observed_ttl_s
        holder = make_holder(member.name, member.incarnation)
        self._book.join(SessionState(holder, self._timing, silent_until_s))
        log.info('joined the members as %s', holder)
