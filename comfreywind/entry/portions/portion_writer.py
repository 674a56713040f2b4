"""Writes portion rows: takes, returns, records, settles and reclaims."""

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
    read_team,
)
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.entry.portions.turn_order import RANK_DELAY_S, VIEW_AGE_LIMIT_S, read_rank
from comfreywind.entry.rules_view import RulesView
from comfreywind.errors import PlatformError, RowConflictError
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import TABLE_PORTIONS
from comfreywind.report.decision_log import DecisionLog
from comfreywind.settings.timings import Timings

# Transfers are recorded at most this often, so that shifting load costs few writes.
RECORD_INTERVAL_S = 2.0

log = logging.getLogger('comfreywind.portions')


@dataclass(frozen=True, slots=True)
class PlannedWrite:
    """A new row on condition of a version; `returning_units` are given up by it."""

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
        """Use the given parts."""
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
        self._recorded_s = float('-inf')
        self._unresolved: dict[str, PlannedWrite] = {}
        self._quiet: dict[str, tuple[object, ...]] = {}
        self._longest_run_s: float = 0

    async def tick(self) -> None:
        """Write what has to be written now."""
        if self._rules_view.rules is None:
            return
        self._longest_run_s = max(self._longest_run_s, self._rules_view.rules.longest_run_s)
        if self._view.read_age_s() > VIEW_AGE_LIMIT_S:
            return
        planned = [
            self._plan(resource)
            for resource in self._list_resources()
            if not self._is_quiet(resource)
        ]
        writes = [write for write in planned if write is not None]
        if writes:
            await self._commit(writes)

    def read_reclaim_wait_s(self) -> float:
        """Return how long work may still run that was started just before a fence, in seconds."""
        return self._longest_run_s + self._timings.run_margin_s

    def _list_resources(self) -> list[str]:
        teams = self._rules_view.rules.teams if self._rules_view.rules else {}
        fenced = [
            resource
            for seen in self._view.members.values()
            for resource in seen.member.fenced_flows
        ]
        return sorted({*self._view.portions, *(make_resource(team) for team in teams), *fenced})

    def _plan(self, resource: str) -> PlannedWrite | None:
        version, row = self._view.read_portion(resource)
        unresolved = self._unresolved.get(resource)
        if unresolved is not None and unresolved.version == version:
            return unresolved
        self._unresolved.pop(resource, None)
        changed = self._settle_lost(resource, row)
        changed = self._finish_reclaims(resource, changed)
        returning_units = 0
        if self._book.is_valid():
            changed = self._apply_ceiling(resource, changed)
            changed = self._record(resource, row, changed)
            returning_units = self._count_returning(resource, changed)
            changed = return_units(changed, self._book.holder, returning_units)
            changed = self._take(resource, changed)
        if changed == row or (version == 0 and not changed.recorded):
            self._note_quiet(resource, row)
            return None
        return PlannedWrite(resource, version, changed, returning_units)

    def _is_quiet(self, resource: str) -> bool:
        """Return whether nothing has changed since there was nothing to write for the resource."""
        return not self._needs_units(resource) and self._quiet.get(resource) == self._read_state(
            resource
        )

    def _note_quiet(self, resource: str, row: PortionRow) -> None:
        self._quiet.pop(resource, None)
        recorded = record_flows(self._book.find_ledger(resource)) == row
        waits = row.reclaiming or row.free_units < 0 or self._list_lost(resource, row)
        if recorded and not waits:
            self._quiet[resource] = self._read_state(resource)

    def _needs_units(self, resource: str) -> bool:
        return self._book.count_wanted(read_team(resource)) > 0

    def _read_state(self, resource: str) -> tuple[object, ...]:
        rules = self._rules_view.rules
        return (
            self._view.read_portion(resource)[0],
            self._view.members_changes,
            rules.version if rules else 0,
            self._book.holder if self._book.is_valid() else '',
            self._book.count_traded(resource),
        )

    def _settle_lost(self, resource: str, row: PortionRow) -> PortionRow:
        for holder in self._list_lost(resource, row):
            rank = 0 if self._is_mine(holder) else read_rank(self._own_name, self._hub) + 1
            if not self._has_waited((resource, f'lost {holder}'), rank * RANK_DELAY_S):
                continue
            member = self._find_fenced(holder)
            flows = member.fenced_flows.get(resource, ()) if member else ()
            row = settle_holder(row, holder, flows, self.read_reclaim_wait_s())
            self._decisions.record(
                'portion', f'team/{read_team(resource)}', 'settled a lost holder', holder=holder
            )
        return row

    def _list_lost(self, resource: str, row: PortionRow) -> list[str]:
        """Return the holders in the row that are no members any more, or were fenced."""
        holders = {holder for holder, _ in row.recorded}
        for flow, _ in row.flows:
            holders.update(split_flow(flow))
        live = {seen.member.holder for seen in self._view.list_live()}
        settled = dict(row.settled)
        for seen in self._view.members.values():
            member = seen.member
            unsettled = settled.get(member.name, 0) < member.incarnation
            if member.fenced and resource in member.fenced_flows and unsettled:
                holders.add(member.holder)
        if self._book.is_joined():
            # The row of this entry may be newer than the last read of the members.
            live.add(self._book.holder)
        return sorted(holders - live)

    def _find_fenced(self, holder: str) -> MemberRow | None:
        for seen in self._view.members.values():
            if seen.member.holder == holder and seen.member.fenced:
                return seen.member
        return None

    def _is_mine(self, holder: str) -> bool:
        return split_holder(holder)[0] == self._own_name

    def _finish_reclaims(self, resource: str, row: PortionRow) -> PortionRow:
        for reclaim in row.reclaiming:
            wait_s = reclaim.wait_s * (1 + self._timings.clock_drift_ratio)
            key = (resource, f'reclaim {reclaim}')
            if self._has_waited(key, wait_s + read_rank(self._own_name, self._hub) * RANK_DELAY_S):
                row = finish_reclaim(row, reclaim)
                self._decisions.record(
                    'portion',
                    f'team/{read_team(resource)}',
                    'units of a lost holder are free again',
                    holder=reclaim.holder,
                    units=reclaim.units,
                )
        return row

    def _apply_ceiling(self, resource: str, row: PortionRow) -> PortionRow:
        rules = self._rules_view.rules
        if rules is None:
            return row
        team = rules.teams.get(read_team(resource))
        return set_ceiling(row, team.ceiling_units if team else 0, rules.version)

    def _record(self, resource: str, row: PortionRow, changed: PortionRow) -> PortionRow:
        """Record transfers when it is time for that, or along with another change."""
        ledger = self._book.find_ledger(resource)
        recorded = record_flows(ledger)
        due = self._clock.read_monotonic_s() >= self._recorded_s + RECORD_INTERVAL_S
        if recorded == ledger.row or (changed == row and not due):
            return changed
        for flow, total in recorded.flows:
            changed = record_flow(changed, flow, int(total))
        return changed

    def _count_returning(self, resource: str, row: PortionRow) -> int:
        idle_units = max(0, self._book.count_idle(read_team(resource)))
        return min(idle_units, max(0, -row.free_units))

    def _take(self, resource: str, row: PortionRow) -> PortionRow:
        team = read_team(resource)
        # Units left in the store could not be used while it is down, so each entry takes its part.
        part_units = -(-row.ceiling_units // max(1, len(self._view.list_live())))
        missing_units = part_units - self._book.count_held(team)
        wanted_units = max(missing_units, self._book.count_wanted(team))
        return allocate_free_units(row, self._book.holder, wanted_units)

    def _has_waited(self, key: tuple[str, str], wait_s: float) -> bool:
        now_s = self._clock.read_monotonic_s()
        return now_s >= self._first_seen_s.setdefault(key, now_s) + wait_s

    async def _commit(self, writes: list[PlannedWrite]) -> None:
        first_attempts = [write for write in writes if write.resource not in self._unresolved]
        for write in writes:
            self._start(write)
        row_writes = [
            RowWrite(TABLE_PORTIONS, write.resource, write.version, encode_portion_row(write.row))
            for write in writes
        ]
        try:
            versions = await self._tables.commit(row_writes)
        except RowConflictError:
            self._forget(first_attempts)
            await self._refresh()
        except PlatformError as error:
            log.warning('the outcome of a portion write is not known: %s', error)
            await self._refresh()
        else:
            self._recorded_s = self._clock.read_monotonic_s()
            for write, version in zip(writes, versions, strict=True):
                self._view.see_portion(write.resource, version, write.row)
                self._see(write.resource)

    def _start(self, write: PlannedWrite) -> None:
        """Keep what the write gives up out of use until its outcome is known."""
        self._unresolved[write.resource] = write
        ledger = self._book.find_ledger(write.resource)
        if self._book.session_state is not None and ledger.row_version == write.version:
            self._book.set_ledger(write.resource, start_write(ledger, write.returning_units))

    def _forget(self, first_attempts: list[PlannedWrite]) -> None:
        """Drop writes that were refused; an earlier attempt of a repeated one may still be applied."""
        for write in first_attempts:
            self._unresolved.pop(write.resource, None)
            ledger = self._book.find_ledger(write.resource)
            if self._book.session_state is not None and ledger.pending_version == write.version:
                self._book.set_ledger(write.resource, clear_pending_write(ledger))

    async def _refresh(self) -> None:
        try:
            await self._view.poll()
        except PlatformError as error:
            log.warning("the portions can't be read: %s", error)

    def _see(self, resource: str) -> None:
        if self._book.see_portion(resource):
            self._book.wake([read_team(resource)])
