"""Joins the members and keeps the session of this entry valid."""

import logging
from dataclasses import replace

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.portions.holder_name import make_holder
from comfreywind.decisions.portions.number_map import get_number
from comfreywind.decisions.portions.session_events import RenewalConfirmed
from comfreywind.decisions.portions.session_state import SessionState
from comfreywind.decisions.portions.session_timing import SessionTiming
from comfreywind.entry.portions.member_row import MemberRow, encode_member_row
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.errors import PlatformError, RowConflictError
from comfreywind.platform.row_write import MISSING_VERSION, RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import ROW_VIEW, TABLE_MEMBERS, TABLE_MEMBERSHIP
from comfreywind.settings.timings import Timings

JOIN_RETRY_S = 0.2
NANOSECONDS_PER_S = 1_000_000_000

log = logging.getLogger('comfreywind.portions')


class SessionKeeper:
    """Writes this entry's row in the table `members`.

    Each attempt has its own renewal number, so that the row tells which attempt took effect when
    replies were lost: the session counts from before that attempt was sent.
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
        """Use the given parts; `member` has the incarnation of this process and the number 0."""
        self._member = member
        self._tables = tables
        self._view = view
        self._book = book
        self._clock = clock
        self._renew_interval_s = timings.renew_interval_s
        self._timing = SessionTiming(timings.session_ttl_s, timings.clock_drift_ratio)
        self._own_version = MISSING_VERSION
        self._attempts: dict[tuple[int, int], float] = {}
        view.subscribe(self._read_own_row)

    async def run(self) -> None:
        """Join, and renew in a fixed period for ever; after a fence, join again."""
        while not self._book.leaving:
            started_s = self._clock.read_monotonic_s()
            joined = self._book.is_joined()
            try:
                await (self._renew() if joined else self._join())
            except RowConflictError:
                log.info('the member row of this entry has changed')
            except PlatformError as error:
                log.warning("the session can't be renewed at the store: %s", error)
            interval_s = self._renew_interval_s if self._book.is_joined() else JOIN_RETRY_S
            elapsed_s = self._clock.read_monotonic_s() - started_s
            await trio.sleep(max(0, interval_s - elapsed_s))

    async def _renew(self) -> None:
        self._member = replace(self._member, renewal_number=self._member.renewal_number + 1)
        await self._write_own_row([])

    async def _join(self) -> None:
        await self._view.poll()
        if self._book.is_joined():
            return
        seen = self._view.members.get(self._member.name)
        if seen is not None and self._must_wait_for(seen.member):
            return
        self._own_version = seen.version if seen else MISSING_VERSION
        self._member = replace(
            self._member, incarnation=self._choose_incarnation(), renewal_number=1
        )
        await self._write_own_row([RowWrite(TABLE_MEMBERSHIP, ROW_VIEW, None, {})])

    def _must_wait_for(self, former: MemberRow) -> bool:
        """Return whether the units of the last incarnation are not settled yet.

        The row can be replaced only after that, because it holds what is needed to settle them.
        """
        return not former.fenced or not self._view.is_settled(former)

    def _choose_incarnation(self) -> int:
        """Return the wall time, but at least one more than any known incarnation of this name."""
        name = self._member.name
        known = [get_number(row.settled, name) for _, row in self._view.portions.values()]
        seen = self._view.members.get(name)
        if seen is not None:
            known.append(seen.member.incarnation)
        incarnation = self._member.incarnation
        if self._book.session_state is not None:
            incarnation = int(self._clock.read_utc().timestamp() * NANOSECONDS_PER_S)
        return max(incarnation, *(int(number) + 1 for number in known), 1)

    async def _write_own_row(self, other_writes: list[RowWrite]) -> None:
        member = self._member
        sent_s = self._clock.read_monotonic_s()
        self._attempts[member.incarnation, member.renewal_number] = sent_s
        write = RowWrite(TABLE_MEMBERS, member.name, self._own_version, encode_member_row(member))
        try:
            versions = await self._tables.commit([write, *other_writes])
        except RowConflictError:
            await self._view.poll()
            self._note_missing_row()
            raise
        self._confirm(member, versions[0])

    def _read_own_row(self) -> None:
        """Take the outcome of writes whose reply was lost, or a fence, from the row."""
        seen = self._view.members.get(self._member.name)
        if seen is None or seen.version < self._own_version:
            return
        member = seen.member
        if member.fenced:
            self._note_fence(member)
        elif (member.incarnation, member.renewal_number) in self._attempts:
            self._confirm(member, seen.version)

    def _note_missing_row(self) -> None:
        """Take a row that is gone or replaced as a fence; fenced rows are removed after a while."""
        seen = self._view.members.get(self._member.name)
        if self._book.is_joined() and (seen is None or seen.member.holder != self._book.holder):
            log.warning('the row of %s is gone; it joins again', self._book.holder)
            self._book.note_fence()

    def _note_fence(self, member: MemberRow) -> None:
        if self._book.is_joined() and member.holder == self._book.holder:
            log.warning('this entry was fenced as %s; it joins again', member.holder)
            self._book.note_fence()

    def _confirm(self, member: MemberRow, version: int) -> None:
        if version < self._own_version:
            return
        self._own_version = version
        sent_s = self._attempts[member.incarnation, member.renewal_number]
        if self._book.holder != member.holder:
            self._enter(member)
        self._book.apply(RenewalConfirmed(sent_s, member.renewal_number))
        # The write of an earlier attempt can't take effect any more.
        self._attempts = {
            attempt: at_s
            for attempt, at_s in self._attempts.items()
            if attempt >= (member.incarnation, member.renewal_number)
        }

    def _enter(self, member: MemberRow) -> None:
        silent_s: float = 0
        if self._book.session_state is None:
            # An earlier process of this name may have promised something that isn't known here.
            silent_s = self._clock.read_monotonic_s() + self._timing.observed_ttl_s
        holder = make_holder(member.name, member.incarnation)
        self._book.join(SessionState(holder, self._timing, silent_s))
        log.info('joined as %s', holder)
