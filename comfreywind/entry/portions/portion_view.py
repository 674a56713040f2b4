"""Members and portions as the store shows them."""

from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.portions.holder_name import is_settled
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.row_changes import mentions_holder
from comfreywind.entry.portions.member_row import MemberRow, decode_member_row
from comfreywind.entry.portions.portion_codec import decode_portion_row
from comfreywind.platform.row import Row
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import (
    ROW_VIEW,
    TABLE_MEMBERS,
    TABLE_MEMBERSHIP,
    TABLE_PORTIONS,
)

PORTION_TABLES = (TABLE_MEMBERS, TABLE_MEMBERSHIP, TABLE_PORTIONS)
# After a longer pause between reads, the time that a renewal number has not changed starts anew:
# the members could not renew while the store was down.
READ_GAP_S = 2.0


@dataclass(frozen=True, slots=True)
class SeenMember:
    """A member row, its version and since when this entry has seen this incarnation and number."""

    member: MemberRow
    version: int
    since_s: float


class PortionView:
    """All rows of the portion protocol at one sequence of the change feed.

    `members_changes` counts changes of the members other than renewals. `changed_portions` are the
    resources whose rows are new in the read that listeners are told of.

    Rows are taken only from reads of the feed and from own writes, never from reads of single rows:
    a portion row newer than the member rows could name a holder that seems not to be a member.
    """

    def __init__(self, tables: TableClient, clock: Clock) -> None:
        """Start empty."""
        self._tables = tables
        self._clock = clock
        self._lock = trio.Lock()
        self._sequence = 0
        self._read_s = float('-inf')
        self._listeners: list[Callable[[], None]] = []
        self.members: dict[str, SeenMember] = {}
        self.portions: dict[str, tuple[int, PortionRow]] = {}
        self.view_version = 0
        self.members_changes = 0
        self.changed_portions: set[str] = set()

    def subscribe(self, receive_change: Callable[[], None]) -> None:
        """Call the function after each read."""
        self._listeners.append(receive_change)

    def read_age_s(self) -> float:
        """Return the age of the view in seconds, infinity before the first read."""
        return self._clock.read_monotonic_s() - self._read_s

    async def poll(self) -> None:
        """Read and apply all changes; raise PlatformError on failure."""
        async with self._lock:
            started_s = self._clock.read_monotonic_s()
            changes = await self._tables.read_changes(self._sequence, PORTION_TABLES)
            if started_s - self._read_s > READ_GAP_S:
                self._restart_times()
            for row in changes.rows:
                self._apply_row(row)
            self._sequence = changes.sequence
            self._read_s = started_s
        for receive_change in self._listeners:
            receive_change()
        self.changed_portions.clear()

    def see_portion(self, resource: str, version: int, row: PortionRow) -> None:
        """Take a newer portion row."""
        if version > self.portions.get(resource, (0, row))[0]:
            self.portions[resource] = (version, row)
            self.changed_portions.add(resource)

    def read_portion(self, resource: str) -> tuple[int, PortionRow]:
        """Return version and row; version 0 stands for a missing row."""
        return self.portions.get(resource, (0, PortionRow()))

    def find_live(self, holder: str) -> MemberRow | None:
        """Return the row of the holder if it is a member that is not fenced."""
        for seen in self.members.values():
            if seen.member.holder == holder and not seen.member.fenced:
                return seen.member
        return None

    def is_settled(self, member: MemberRow) -> bool:
        """Return whether no units or flows of a fenced holder are left to settle."""
        holder = member.holder
        if any(mentions_holder(row, holder) for _, row in self.portions.values()):
            return False
        return all(
            is_settled(self.read_portion(resource)[1].settled, holder)
            for resource in member.fenced_flows
        )

    def shows_both(self, own_holder: str, holder: str) -> bool:
        """Return whether one read shows both as members that are not fenced."""
        return self.find_live(own_holder) is not None and self.find_live(holder) is not None

    def list_live(self) -> list[SeenMember]:
        """Return the members that are not fenced."""
        return [seen for seen in self.members.values() if not seen.member.fenced]

    def _restart_times(self) -> None:
        now_s = self._clock.read_monotonic_s()
        self.members = {
            name: SeenMember(seen.member, seen.version, now_s)
            for name, seen in self.members.items()
        }

    def _apply_row(self, row: Row) -> None:
        if row.table == TABLE_MEMBERS:
            self._apply_member(row)
        elif row.table == TABLE_PORTIONS and row.value is not None:
            self.see_portion(row.key, row.version, decode_portion_row(row.value))
        elif row.table == TABLE_MEMBERSHIP and row.key == ROW_VIEW:
            self.view_version = row.version

    def _apply_member(self, row: Row) -> None:
        former = self.members.get(row.key)
        if row.value is None:
            self.members.pop(row.key, None)
            self.members_changes += 1
            return
        member = decode_member_row(row.key, row.value)
        if former is None or replace(former.member, renewal_number=0) != replace(
            member, renewal_number=0
        ):
            self.members_changes += 1
        now_s = self._clock.read_monotonic_s()
        self.members[row.key] = SeenMember(member, row.version, now_s)
