"""Keeps orders of two holders for one VM apart."""

import logging
import math
from collections.abc import Collection, Mapping

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
# Orders that are announced together have to be sent within this time of it, besides the time that the
# store takes for the row, or be announced again.
SEND_WINDOW_S = 0.6
# An announcement is repeated when less than this is left of its window.
LEAST_WINDOW_S = 0.3
# From the last look at the window to the arrival of the order at the service.
ARRIVAL_MARGIN_S = 0.4
# How many times the last store call's duration the window is longer: for this call, and a slower one.
STORE_CALLS_PER_WINDOW = 2
MS_PER_S = 1000
# No turn after it is ever over by the store's clock.
TIME_UNKNOWN_MS = math.inf

log = logging.getLogger('comfreywind.vms')


class OrderReservations:
    """Stores which VMs are about to be ordered, and until when, before they are.

    Orders of two holders for one VM keep a distance of `turn_s`. A later holder leaves a VM in the row
    alone until that has passed since the last moment at which the order may have been sent, by the
    store's clock, or since it has taken the term. It may order all others at once.
    """

    def __init__(self, rows: RowsClient, term: HeldTerm, turn_s: float, clock: Clock) -> None:
        """Use the store's client; nothing may be ordered before the row was loaded."""
        self._rows = rows
        self._term = term
        self._turn_s = turn_s
        self._clock = clock
        self._earlier_ms: dict[str, float] = {}
        self._all_wait = False
        self._send_until_s: dict[str, float] = {}
        self._until_ms: dict[str, float] = {}
        self._store_call_s: float = 0
        self._version = 0

    async def load(self) -> None:
        """Read what earlier holders ordered; raise StoreUnavailableError without an answer."""
        row = await self._rows.read_row(TABLE_TERM, HOLDER_PART, ORDERS_KEY)
        self._version = row.version
        self._earlier_ms = self._read_row(row)

    def may_reserve(self, vm: str) -> bool:
        """Return whether no earlier holder can have ordered the VM within the turn."""
        if self._is_over():
            return True
        if self._all_wait:
            return False
        return vm not in self._earlier_ms or self._is_past(self._earlier_ms[vm])

    def may_send(self, vm: str) -> bool:
        """Return whether an order for the VM is announced for this moment."""
        return self._clock.read_monotonic_s() <= self._send_until_s.get(vm, -math.inf)

    async def reserve(self, vms: Collection[str]) -> bool:
        """Store that the VMs are about to be ordered; return False when they must not be yet."""
        now_s = self._clock.read_monotonic_s()
        if all(self._send_until_s.get(vm, -math.inf) - now_s >= LEAST_WINDOW_S for vm in vms):
            return True
        window_s = SEND_WINDOW_S + STORE_CALLS_PER_WINDOW * self._store_call_s
        until_ms = self._find_store_ms(now_s + window_s)
        wanted = self._list_recent() | dict.fromkeys(vms, until_ms)
        change = RowChange(TABLE_TERM, ORDERS_KEY, encode_ordered_vms(wanted), self._version)
        try:
            self._version = await self._rows.commit(HOLDER_PART, [change])
        except RowsChangedError as error:
            # A commit of ours without an answer, as the term's row keeps other holders away.
            for row in error.rows:
                self._version = row.version
            return False
        except StoreUnavailableError as error:
            log.info('%d VMs are not ordered yet: %s', len(vms), error)
            return False
        finally:
            self._store_call_s = self._clock.read_monotonic_s() - now_s
        self._until_ms.update(dict.fromkeys(vms, until_ms))
        self._send_until_s.update(dict.fromkeys(vms, now_s + window_s))
        return True

    def _is_over(self) -> bool:
        """Return whether the turn of any earlier holder is over."""
        waited_s = self._clock.read_monotonic_s() - self._term.taken_s
        return self._term.epoch == 1 or waited_s >= self._turn_s + ARRIVAL_MARGIN_S

    def _find_store_ms(self, at_s: float) -> float:
        """Return an upper bound of the store's clock at the moment."""
        store_time = self._rows.store_time
        return TIME_UNKNOWN_MS if store_time is None else store_time.find_latest_ms(at_s)

    def _is_past(self, until_ms: float, margin_s: float = 0) -> bool:
        """Return whether the turn after the moment is over."""
        store_time = self._rows.store_time
        if store_time is None:
            return False
        now_ms = store_time.find_earliest_ms(self._clock.read_monotonic_s())
        waited_s = (now_ms - until_ms) / MS_PER_S
        return waited_s >= self._turn_s + ARRIVAL_MARGIN_S + margin_s

    def _list_recent(self) -> dict[str, float]:
        """Return the VMs that a later holder has to leave alone."""
        known = self._until_ms if self._is_forgotten() else self._earlier_ms | self._until_ms
        return {
            vm: until_ms
            for vm, until_ms in known.items()
            if not self._is_past(until_ms, KEEP_MARGIN_S)
        }

    def _is_forgotten(self) -> bool:
        """Return whether no later holder needs to know of earlier ones."""
        waited_s = self._clock.read_monotonic_s() - self._term.taken_s
        return waited_s >= self._turn_s + KEEP_MARGIN_S

    def _read_row(self, row: StoredRow) -> dict[str, float]:
        try:
            return decode_ordered_vms(row.payload)
        except RowFormatError as error:
            log.warning('all VMs wait for the turn of an earlier holder: %s', error)
            self._all_wait = True
            return {}


def encode_ordered_vms(until_ms: Mapping[str, float]) -> bytes:
    """Return the row that tells until when on the store's clock VMs may have been ordered."""
    packed: bytes = msgpack.packb(dict(sorted(until_ms.items())))
    return packed


def decode_ordered_vms(payload: bytes | None) -> dict[str, float]:
    """Return the VMs and their times; raise RowFormatError when the row can't be read.

    Nodes of the version before wrote the names alone, without times.
    """
    if not payload:
        return {}
    with reading_row('row of ordered VMs'):
        document = msgpack.unpackb(payload)
        if isinstance(document, list):
            return dict.fromkeys(map(str, document), TIME_UNKNOWN_MS)
        if not isinstance(document, dict):
            raise RowFormatError('row of ordered VMs: not a map of times')
        return {str(vm): float(until_ms) for vm, until_ms in document.items()}
