"""Writes portion rows: allocates and returns units, records flows, settles lost holders."""

import logging
from dataclasses import dataclass

from comfreywind.clock import Clock
from comfreywind.decisions.portions.holder_name import split_flow, split_holder
from comfreywind.decisions.portions.ledger_changes import (
    clear_pending_write,
    record_flows,
    start_write,
)
from comfreywind.decisions.portions.portion_row import PortionRow
from comfreywind.decisions.portions.row_changes import (
    allocate_free_units,
    finish_reclaim,
    record_flow,
    return_units,
    set_ceiling,
    settle_holder,
)
from comfreywind.entry.portions.member_row import MemberRow
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_codec import (
    encode_portion_row,
    make_resource,
    parse_team,
)
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.entry.portions.turn_order import MAX_VIEW_AGE_S, RANK_DELAY_S, compute_rank
from comfreywind.entry.rules_view import RulesView
from comfreywind.errors import PlatformError, RowConflictError
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import TABLE_PORTIONS
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.timings import Timings

# Transfers alone cause a write at most this often, so that shifting load costs few writes.
RECORD_INTERVAL_S = 2.0

log = logging.getLogger('comfreywind.portions')


@dataclass(frozen=True, slots=True)
class PlannedWrite:
    """A new portion row, to be written on condition that the row still has the version.

    The row returns `returning_units` of this entry.
    """

    resource: str
    version: int
    row: PortionRow
    returning_units: int


class PortionWriter:
    """Decides which rows to change and writes all of them in one transaction."""

    def __init__(
        self,
        own_name: str,
        hub: PeerHub,
        tables: TableClient,
        view: PortionView,
        book: PortionBook,
        rules_view: RulesView,
        clock: Clock,
        timings: Timings,
        decisions: DecisionLog,
    ) -> None:
        """Use the given components."""
        self._own_name = own_name
        self._hub = hub
        self._tables = tables
        self._view = view
        self._book = book
        self._rules_view = rules_view
        self._clock = clock
        self._timings = timings
        self._decisions = decisions
        self._first_seen_s: dict[tuple[str, str], float] = {}
        self._last_commit_s = float('-inf')
        self._unresolved: dict[str, PlannedWrite] = {}
        self._skipped_inputs: dict[str, tuple[object, ...]] = {}
        self._longest_run_s: float = 0

    async def tick(self) -> None:
        """Write all portion rows that have to change now."""
        if self._rules_view.rules is None:
            return
        self._longest_run_s = max(self._longest_run_s, self._rules_view.rules.longest_run_s)
        if self._view.read_age_s() > MAX_VIEW_AGE_S:
            return
        planned = [
            self._plan(resource)
            for resource in self._list_resources()
            if not self._can_skip(resource)
        ]
        writes = [write for write in planned if write is not None]
        if writes:
            await self._commit(writes)

    def read_reclaim_wait_s(self) -> float:
        """Return the seconds for which work may run that started just before a fence.

        It follows from the longest run time in any rules since the start of this process.
        """
        return self._longest_run_s + self._timings.run_margin_s

    def _list_resources(self) -> list[str]:
        teams = self._rules_view.rules.teams if self._rules_view.rules else {}
        fenced = [
            resource
            for observed in self._view.members.values()
            for resource in observed.member.fenced_flows
        ]
        return sorted({*self._view.portions, *(make_resource(team) for team in teams), *fenced})

    def _plan(self, resource: str) -> PlannedWrite | None:
        version, row = self._view.read_portion(resource)
        unresolved = self._unresolved.get(resource)
        if unresolved is not None and unresolved.version == version:
            return unresolved
        self._unresolved.pop(resource, None)
        changed = self._settle_lost_holders(resource, row)
        changed = self._finish_reclaims(resource, changed)
        returning_units = 0
        if self._book.is_valid():
            changed = self._apply_ceiling(resource, changed)
            changed = self._record_transfers(resource, row, changed)
            returning_units = self._count_returning(resource, changed)
            changed = return_units(changed, self._book.holder, returning_units)
            changed = self._allocate(resource, changed)
        if changed == row or (version == 0 and not changed.recorded):
            self._record_skip(resource, row)
            return None
        return PlannedWrite(resource, version, changed, returning_units)

    def _can_skip(self, resource: str) -> bool:
        """Return whether the inputs are the same as when there was nothing to write."""
        return not self._needs_units(resource) and self._skipped_inputs.get(
            resource
        ) == self._read_inputs(resource)

    def _record_skip(self, resource: str, row: PortionRow) -> None:
        self._skipped_inputs.pop(resource, None)
        recorded = record_flows(self._book.get_ledger(resource)) == row
        waits = row.reclaiming or row.free_units < 0 or self._list_lost_holders(resource, row)
        if recorded and not waits:
            self._skipped_inputs[resource] = self._read_inputs(resource)

    def _needs_units(self, resource: str) -> bool:
        return self._book.count_wanted(parse_team(resource)) > 0

    def _read_inputs(self, resource: str) -> tuple[object, ...]:
        rules = self._rules_view.rules
        return (
            self._view.read_portion(resource)[0],
            self._view.membership_change_count,
            rules.version if rules else 0,
            self._book.holder if self._book.is_valid() else '',
            self._book.count_transferred(resource),
        )

    def _settle_lost_holders(self, resource: str, row: PortionRow) -> PortionRow:
        for holder in self._list_lost_holders(resource, row):
            rank = 0 if self._is_own(holder) else compute_rank(self._own_name, self._hub) + 1
            if not self._has_elapsed((resource, f'lost {holder}'), rank * RANK_DELAY_S):
                continue
            member = self._get_fenced_member(holder)
            flows = member.fenced_flows.get(resource, ()) if member else ()
            row = settle_holder(row, holder, flows, self.read_reclaim_wait_s())
            self._decisions.record(
                'portion', f'team/{parse_team(resource)}', 'settled a lost holder', holder=holder
            )
        return row

    def _list_lost_holders(self, resource: str, row: PortionRow) -> list[str]:
        """Return the unsettled holders that are no members any more or were fenced.

        These are holders with units or flows in the row, and fenced ones with flows to settle.
        """
        holders = {holder for holder, _ in row.recorded}
        for flow, _ in row.flows:
            holders.update(split_flow(flow))
        live = {observed.member.holder for observed in self._view.list_live()}
        settled = dict(row.settled)
        for observed in self._view.members.values():
            member = observed.member
            unsettled = settled.get(member.name, 0) < member.incarnation
            if member.fenced and resource in member.fenced_flows and unsettled:
                holders.add(member.holder)
        if self._book.is_joined():
            # The last read of the members may be older than the join of this entry.
            live.add(self._book.holder)
        return sorted(holders - live)

    def _get_fenced_member(self, holder: str) -> MemberRow | None:
        for observed in self._view.members.values():
            if observed.member.holder == holder and observed.member.fenced:
                return observed.member
        return None

    def _is_own(self, holder: str) -> bool:
        return split_holder(holder)[0] == self._own_name

    def _finish_reclaims(self, resource: str, row: PortionRow) -> PortionRow:
        for reclaim in row.reclaiming:
            wait_s = reclaim.wait_s * (1 + self._timings.clock_drift_ratio)
            key = (resource, f'reclaim {reclaim}')
            if self._has_elapsed(
                key, wait_s + compute_rank(self._own_name, self._hub) * RANK_DELAY_S
            ):
                row = finish_reclaim(row, reclaim)
                self._decisions.record(
                    'portion',
                    f'team/{parse_team(resource)}',
                    'units of a lost holder are free again',
                    holder=reclaim.holder,
                    units=reclaim.units,
                )
        return row

    def _apply_ceiling(self, resource: str, row: PortionRow) -> PortionRow:
        rules = self._rules_view.rules
        if rules is None:
            return row
        team = rules.teams.get(parse_team(resource))
        return set_ceiling(row, team.ceiling_units if team else 0, rules.version)

    def _record_transfers(self, resource: str, row: PortionRow, changed: PortionRow) -> PortionRow:
        """Record transfers along with another change, or alone when `RECORD_INTERVAL_S` has passed."""
        ledger = self._book.get_ledger(resource)
        recorded = record_flows(ledger)
        due = self._clock.read_monotonic_s() >= self._last_commit_s + RECORD_INTERVAL_S
        if recorded == ledger.row or (changed == row and not due):
            return changed
        for flow, total in recorded.flows:
            changed = record_flow(changed, flow, int(total))
        return changed

    def _count_returning(self, resource: str, row: PortionRow) -> int:
        idle_units = max(0, self._book.count_idle(parse_team(resource)))
        return min(idle_units, max(0, -row.free_units))

    def _allocate(self, resource: str, row: PortionRow) -> PortionRow:
        team = parse_team(resource)
        # While the store is down, free units can't be allocated, so each entry takes an equal share.
        equal_share_units = -(-row.ceiling_units // max(1, len(self._view.list_live())))
        missing_units = equal_share_units - self._book.count_held(team)
        wanted_units = max(missing_units, self._book.count_wanted(team))
        return allocate_free_units(row, self._book.holder, wanted_units)

    def _has_elapsed(self, key: tuple[str, str], wait_s: float) -> bool:
        now_s = self._clock.read_monotonic_s()
        return now_s >= self._first_seen_s.setdefault(key, now_s) + wait_s

    async def _commit(self, writes: list[PlannedWrite]) -> None:
        first_attempts = [write for write in writes if write.resource not in self._unresolved]
        for write in writes:
            self._mark_pending(write)
        row_writes = [
            RowWrite(TABLE_PORTIONS, write.resource, write.version, encode_portion_row(write.row))
            for write in writes
        ]
        try:
            versions = await self._tables.commit(row_writes)
        except RowConflictError:
            self._discard_refused(first_attempts)
            await self._poll_view()
        except PlatformError as error:
            log.warning(
                'it is not known whether a write of portions took effect; '
                'the rows that it did not change are written again: %s',
                error,
            )
            await self._poll_view()
        else:
            self._last_commit_s = self._clock.read_monotonic_s()
            for write, version in zip(writes, versions, strict=True):
                self._view.apply_portion_row(write.resource, version, write.row)
                self._refresh_ledger(write.resource)

    def _mark_pending(self, write: PlannedWrite) -> None:
        """Record the write as pending, so that the units it returns are not used meanwhile."""
        self._unresolved[write.resource] = write
        ledger = self._book.get_ledger(write.resource)
        if self._book.session_state is not None and ledger.row_version == write.version:
            self._book.set_ledger(write.resource, start_write(ledger, write.returning_units))

    def _discard_refused(self, first_attempts: list[PlannedWrite]) -> None:
        """Drop the refused writes, unless they repeated a write whose outcome is not known.

        The earlier attempt of a repeated write may have been applied, or may still be.
        """
        for write in first_attempts:
            self._unresolved.pop(write.resource, None)
            ledger = self._book.get_ledger(write.resource)
            if self._book.session_state is not None and ledger.pending_version == write.version:
                self._book.set_ledger(write.resource, clear_pending_write(ledger))

    async def _poll_view(self) -> None:
        try:
            await self._view.poll()
        except PlatformError as error:
            log.warning("the members and portions can't be read: %s", error)

    def _refresh_ledger(self, resource: str) -> None:
        if self._book.refresh_ledger(resource):
            self._book.wake([parse_team(resource)])
