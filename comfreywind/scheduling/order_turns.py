"""Keeps orders of two holders for one VM apart."""

import logging
from collections.abc import Collection

import msgpack

from comfreywind.clock import Clock
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.jobs.row_format import RowFormatError, reading_row
from comfreywind.jobs.tables import HOLDER_PART, ORDERS_KEY, TABLE_TERM
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.term_keeper import HeldTerm

# A VM stays in the row for longer than its turn, as the clocks of two holders differ.
KEEP_MARGIN_S = 1.0

log = logging.getLogger('comfreywind.vms')


class OrderTurns:
    """Stores which VMs are about to be ordered, before they are.

    A later holder leaves the VMs in the row alone for `turn_s` after it has taken the term, and may
    order all others at once.
    """

    def __init__(self, rows: RowsClient, term: HeldTerm, turn_s: float, clock: Clock) -> None:
        """Use the store's client; nothing may be ordered before the row was loaded."""
        self._rows = rows
        self._term = term
        self._turn_s = turn_s
        self._clock = clock
        self._earlier: frozenset[str] = frozenset()
        self._all_wait = False
        self._ordered_s: dict[str, float] = {}
        self._stored: frozenset[str] = frozenset()
        self._version = 0

    async def load(self) -> None:
        """Read what earlier holders ordered; raise StoreUnavailableError without an answer."""
        self._take_row(await self._rows.read_row(TABLE_TERM, HOLDER_PART, ORDERS_KEY))
        self._earlier = self._stored

    def is_over(self) -> bool:
        """Return whether the turn of any earlier holder is over."""
        waited_s = self._clock.read_monotonic_s() - self._term.taken_s
        return self._term.epoch == 1 or waited_s >= self._turn_s

    def is_open(self, vm: str) -> bool:
        """Return whether no earlier holder can have ordered the VM within the turn."""
        return self.is_over() or not (self._all_wait or vm in self._earlier)

    async def announce(self, vms: Collection[str]) -> bool:
        """Store that the VMs are about to be ordered; return False when they must not be yet."""
        now_s = self._clock.read_monotonic_s()
        self._ordered_s.update(dict.fromkeys(vms, now_s))
        if self._stored.issuperset(vms):
            return True
        wanted = self._list_recent(now_s)
        change = RowChange(TABLE_TERM, ORDERS_KEY, encode_ordered_vms(wanted), self._version)
        try:
            self._version = await self._rows.commit(HOLDER_PART, [change])
        except RowsChangedError as error:
            for row in error.rows:
                self._take_row(row)
            return False
        except StoreUnavailableError as error:
            log.info('%d VMs are not ordered yet: %s', len(vms), error)
            return False
        self._stored = wanted
        return True

    def _list_recent(self, now_s: float) -> frozenset[str]:
        """Return the VMs that a later holder has to leave alone."""
        kept_s = self._turn_s + KEEP_MARGIN_S
        recent = {vm for vm, sent_s in self._ordered_s.items() if now_s - sent_s < kept_s}
        if now_s - self._term.taken_s < kept_s:
            recent |= self._earlier
        return frozenset(recent)

    def _take_row(self, row: StoredRow) -> None:
        self._version = row.version
        try:
            self._stored = decode_ordered_vms(row.payload)
        except RowFormatError as error:
            log.warning('all VMs wait for the turn of an earlier holder: %s', error)
            self._stored = frozenset()
            self._all_wait = True


def encode_ordered_vms(vms: Collection[str]) -> bytes:
    """Return the row that names VMs which were ordered lately."""
    packed: bytes = msgpack.packb(sorted(vms))
    return packed


def decode_ordered_vms(payload: bytes | None) -> frozenset[str]:
    """Return the VMs; raise RowFormatError when the row can't be read."""
    if not payload:
        return frozenset()
    with reading_row('row of ordered VMs'):
        return frozenset(map(str, msgpack.unpackb(payload)))
