"""Gives up this entry's portions before its process ends."""

import logging

import trio

from comfreywind.clock import Clock
from comfreywind.decisions.portions.ledger_changes import list_flows
from comfreywind.decisions.portions.row_changes import settle_holder
from comfreywind.entry.portions.portion_book import PortionBook
from comfreywind.entry.portions.portion_codec import encode_portion_row, read_team
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

ATTEMPTS_LIMIT = 10
HAND_OVER_S = 0.5

log = logging.getLogger('comfreywind.portions')


class PortionLeaver:
    """Returns all units and removes the member row in one transaction."""

    def __init__(
        self,
        own_name: str,
        tables: TableClient,
        view: PortionView,
        book: PortionBook,
        exchange: UnitExchange,
        clock: Clock,
    ) -> None:
        """Use the given parts."""
        self._own_name = own_name
        self._tables = tables
        self._view = view
        self._book = book
        self._exchange = exchange
        self._clock = clock

    async def leave(self, reclaim_wait_s: float) -> None:
        """Leave the members; when the store is down, give the units to a peer.

        Units whose work has not ended here are reclaimed after the wait.
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
        for _ in range(ATTEMPTS_LIMIT):
            if await self._try_leave(reclaim_wait_s):
                log.info('left as %s', self._book.holder)
                return
        log.warning('%s could not leave; its row has to be fenced', self._book.holder)

    async def _hand_over(self) -> None:
        for resource in self._book.list_resources():
            self._exchange.give_all(read_team(resource))
        await trio.sleep(HAND_OVER_S)
        self._exchange.tick()
        self._book.leaving = True
        log.warning('the store is down; units were given to peers and the row has to be fenced')

    async def _wait_for_promises(self) -> None:
        granted = self._book.session_state.granted if self._book.session_state else ()
        end_s = max((until_s for _, until_s in granted), default=0)
        await trio.sleep(max(0, end_s - self._clock.read_monotonic_s()))

    async def _try_leave(self, reclaim_wait_s: float) -> bool:
        seen = self._view.members.get(self._own_name)
        if seen is None or seen.member.holder != self._book.holder or seen.member.fenced:
            return True
        writes = [
            RowWrite(TABLE_MEMBERS, self._own_name, seen.version, None),
            RowWrite(TABLE_MEMBERSHIP, ROW_VIEW, None, {}),
            *self._settle_all(reclaim_wait_s),
        ]
        try:
            await self._tables.commit(writes)
        except RowConflictError:
            log.info('rows changed while this entry left; it tries again')
        except PlatformError as error:
            log.warning('the outcome of leaving is not known: %s', error)
        else:
            return True
        try:
            await self._view.poll()
        except PlatformError as error:
            log.warning("the members can't be read: %s", error)
        return False

    def _settle_all(self, reclaim_wait_s: float) -> list[RowWrite]:
        writes = []
        for resource in self._book.list_resources():
            ledger = self._book.find_ledger(resource)
            team = read_team(resource)
            at_work = self._book.used[team] + self._book.orphaned[team]
            wait_s = reclaim_wait_s if at_work else 0
            flows = list_flows(ledger)
            row = settle_holder(ledger.row, ledger.holder, flows, wait_s)
            writes.append(
                RowWrite(TABLE_PORTIONS, resource, ledger.row_version, encode_portion_row(row))
            )
        return [write for write in writes if write.expected_version]
