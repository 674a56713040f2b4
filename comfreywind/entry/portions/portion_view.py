"""A local copy of the member rows and portion rows in the store."""

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
# After a longer pause between successful reads, the time without a new renewal of a member counts
# from the end of the pause: the store may have been down, so that no member could renew.
MAX_READ_GAP_S = 2.0


@dataclass(frozen=True, slots=True)
class ObservedMember:
    """A member row, its version, and when this entry first read it.

    `first_seen_s` is a monotonic time. It is later than the first read if reads of the store were
    interrupted since then.
    """

    member: MemberRow
    version: int
    first_seen_s: float


class PortionView:
    """All rows of the portion protocol at one sequence number of the change feed.

    `portions` maps each resource to the version of its row and the row. `membership_version` is the
    version of the row that every join, leave and fence writes; a fence is conditional on it.
    `membership_change_count` counts changes of member rows other than renewals. `changed_portions`
    are the resources whose rows have changed since the listeners were last called.

    Rows come only from the feed and from own writes, never from reads of single rows: a portion row
    newer than the member rows could name a holder that does not seem to be a member, and its units
    would be reclaimed.
    """

    def __init__(self, tables: TableClient, clock: Clock) -> None:
        """Start without rows; the first `poll` reads all of them."""
        self._tables = tables
        self._clock = clock
        self._lock = trio.Lock()
        self._sequence = 0
        self._last_read_s = float('-inf')
        self._listeners: list[Callable[[], None]] = []
        self.members: dict[str, ObservedMember] = {}
        self.portions: dict[str, tuple[int, PortionRow]] = {}
        self.membership_version = 0
        self.membership_change_count = 0
        self.changed_portions: set[str] = set()

    def subscribe(self, receive_change: Callable[[], None]) -> None:
        """Call the function after each successful read of the feed."""
        self._listeners.append(receive_change)

    def read_age_s(self) -> float:
        """Return the seconds since the start of the last successful read, infinity before the first."""
        return self._clock.read_monotonic_s() - self._last_read_s

    async def poll(self) -> None:
        """Read all changes from the feed, apply them and call the listeners.

        Raises PlatformError if the read fails.
        """
        async with self._lock:
            started_s = self._clock.read_monotonic_s()
            changes = await self._tables.read_changes(self._sequence, PORTION_TABLES)
            if started_s - self._last_read_s > MAX_READ_GAP_S:
                self._reset_first_seen()
            for row in changes.rows:
                self._apply_row(row)
            self._sequence = changes.sequence
            self._last_read_s = started_s
        for receive_change in self._listeners:
            receive_change()
        self.changed_portions.clear()

    def apply_portion_row(self, resource: str, version: int, row: PortionRow) -> None:
        """Store the portion row, unless the known version is at least as new."""
        if version > self.portions.get(resource, (0, row))[0]:
            self.portions[resource] = (version, row)
            self.changed_portions.add(resource)

    def read_portion(self, resource: str) -> tuple[int, PortionRow]:
        """Return the version and the row of the resource; a missing row is empty and has version 0."""
        return self.portions.get(resource, (0, PortionRow()))

    def get_live_member(self, holder: str) -> MemberRow | None:
        """Return the row of the holder, or None if it is fenced or not a member."""
        for observed in self.members.values():
            if observed.member.holder == holder and not observed.member.fenced:
                return observed.member
        return None

    def is_settled(self, member: MemberRow) -> bool:
        """Return whether all units and flows of a fenced holder are settled.

        A member row may be removed only after that, because its `fenced_flows` are needed to settle.
        """
        holder = member.holder
        if any(mentions_holder(row, holder) for _, row in self.portions.values()):
            return False
        return all(
            is_settled(self.read_portion(resource)[1].settled, holder)
            for resource in member.fenced_flows
        )

    def are_both_live(self, own_holder: str, holder: str) -> bool:
        """Return whether this version of the view has both holders as members that are not fenced."""
        return (
            self.get_live_member(own_holder) is not None
            and self.get_live_member(holder) is not None
        )

    def list_live(self) -> list[ObservedMember]:
        """Return the members that are not fenced."""
        return [observed for observed in self.members.values() if not observed.member.fenced]

    def _reset_first_seen(self) -> None:
        now_s = self._clock.read_monotonic_s()
        self.members = {
            name: ObservedMember(observed.member, observed.version, now_s)
            for name, observed in self.members.items()
        }

    def _apply_row(self, row: Row) -> None:
        if row.table == TABLE_MEMBERS:
            self._apply_member(row)
        elif row.table == TABLE_PORTIONS and row.value is not None:
            self.apply_portion_row(row.key, row.version, decode_portion_row(row.value))
        elif row.table == TABLE_MEMBERSHIP and row.key == ROW_VIEW:
            self.membership_version = row.version

    def _apply_member(self, row: Row) -> None:
        former = self.members.get(row.key)
        if row.value is None:
            self.members.pop(row.key, None)
            self.membership_change_count += 1
            return
        member = decode_member_row(row.key, row.value)
        if former is None or replace(former.member, renewal_number=0) != replace(
            member, renewal_number=0
        ):
            self.membership_change_count += 1
        now_s = self._clock.read_monotonic_s()
        self.members[row.key] = ObservedMember(member, row.version, now_s)
