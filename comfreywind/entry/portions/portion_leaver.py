"""Returns the units of this entry before its process ends."""

import logging

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.portions.ledger_changes import list_flows
from comfreywind.decisions.portions.row_changes import settle_holder
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_codec import encode_portion_row, parse_team
from comfreywind.entry.portions.portion_view import PortionView
from comfreywind.entry.portions.unit_exchange import UnitExchange
from comfreywind.errors import PlatformError, RowConflictError
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import (
    ROW_VIEW,
    TABLE_MEMBERS,
    TABLE_MEMBERSHIP,
    TABLE_PORTIONS,
)

MAX_LEAVE_ATTEMPTS = 10
# Peers confirm the transfers within this time; the unconfirmed ones are then sent once more.
HAND_OVER_WAIT_S = 0.5

log = logging.getLogger('comfreywind.portions')


class PortionLeaver:
    """Settles this entry in all portion rows and removes its member row, in one transaction."""

    def __init__(
        self,
        own_name: str,
        tables: TableClient,
        view: PortionView,
        book: PortionBook,
        exchange: UnitExchange,
        clock: Clock,
    ) -> None:
        """Use the given components."""
        self._own_name = own_name
        self._tables = tables
        self._view = view
        self._book = book
        self._exchange = exchange
        self._clock = clock

    async def leave(self, reclaim_wait_s: float) -> None:
        """Leave the members; if the store can't be read, send the idle units to peers instead.

        If work of a team still runs here, its units become free only after the wait. This entry
        leaves only when the promises that it gave have ended.
        """
        if not self._book.is_joined():
            return
        try:
            await self._view.poll()
        except PlatformError:
            await self._hand_over()
            return
        self._book.leaving = True
        await self._wait_for_promises()
        for _ in range(MAX_LEAVE_ATTEMPTS):
            if await self._commit_leave(reclaim_wait_s):
                log.info('%s left the members', self._book.holder)
                return
        log.warning(
            '%s could not leave; its units are reclaimed when another member fences it',
            self._book.holder,
        )

    async def _hand_over(self) -> None:
        for resource in self._book.list_resources():
            self._exchange.give_all(parse_team(resource))
        await trio.sleep(HAND_OVER_WAIT_S)
        self._exchange.tick()
        self._book.leaving = True
        log.warning(
            "the store can't be read; idle units were sent to peers, "
            'and another member has to fence this entry'
        )

    async def _wait_for_promises(self) -> None:
        granted = self._book.session_state.granted if self._book.session_state else ()
        end_s = max((until_s for _, until_s in granted), default=0)
        await trio.sleep(max(0, end_s - self._clock.read_monotonic_s()))

    async def _commit_leave(self, reclaim_wait_s: float) -> bool:
        observed = self._view.members.get(self._own_name)
        if (
            observed is None
            or observed.member.holder != self._book.holder
            or observed.member.fenced
        ):
            return True
        writes = [
            RowWrite(TABLE_MEMBERS, self._own_name, observed.version, None),
            RowWrite(TABLE_MEMBERSHIP, ROW_VIEW, None, {}),
            *self._plan_portion_writes(reclaim_wait_s),
        ]
        try:
            await self._tables.commit(writes)
        except RowConflictError:
            log.info('rows changed while this entry was leaving; trying again')
        except PlatformError as error:
            log.warning(
                'it is not known whether the write to leave took effect, trying again: %s', error
            )
        else:
            return True
        try:
            await self._view.poll()
        except PlatformError as error:
            log.warning("the members and portions can't be read: %s", error)
        return False

    def _plan_portion_writes(self, reclaim_wait_s: float) -> list[RowWrite]:
        writes = []
        for resource in self._book.list_resources():
            ledger = self._book.get_ledger(resource)
            team = parse_team(resource)
            units_in_use = self._book.used[team] + self._book.orphaned[team]
            wait_s = reclaim_wait_s if units_in_use else 0
            flows = list_flows(ledger)
            row = settle_holder(ledger.row, ledger.holder, flows, wait_s)
            writes.append(
                RowWrite(TABLE_PORTIONS, resource, ledger.row_version, encode_portion_row(row))
            )
        return [write for write in writes if write.expected_version]
