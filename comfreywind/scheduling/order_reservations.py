"""Reservations of VMs, which keep the orders of two holders for one VM apart in time."""

import logging
import math
from collections.abc import Collection, Mapping

import msgpack

from comfreywind.clock import Clock
from comfreywind.errors import RowsChangedError, StoreUnavailableError
from comfreywind.jobs.row_format import RowFormatError, wrap_row_errors
from comfreywind.jobs.tables import HOLDER_PARTITION, ORDER_RESERVATIONS_KEY, TABLE_TERM
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.term_keeper import HeldTerm

# A VM stays in the row for this time after its reservation ends, as the clocks of holders differ.
KEEP_MARGIN_S = 1.0
# An order has to be sent within this time of its reservation, besides the time that the store takes
# for the row. After that the VM has to be reserved again.
SEND_WINDOW_S = 0.6
# A VM is reserved again when less than this is left of its send window.
MIN_WINDOW_S = 0.3
# Maximum time from the last check of the send window to the arrival of the order at the service.
ARRIVAL_MARGIN_S = 0.4
# The send window is longer by this many times the duration of the last store call: once for the
# call that stores the reservation, and once more in case that it is slower.
STORE_CALLS_PER_WINDOW = 2
MS_PER_S = 1000
# Stands for an unknown end of a send window: by the store's clock such a reservation never ends.
TIME_UNKNOWN_MS = math.inf

log = logging.getLogger('comfreywind.vms')


class OrderReservations:
    """Stores in a row which VMs are about to be ordered, and the end of their send windows.

    Orders of two holders for one VM are at least `reservation_s` apart. A later holder orders a VM
    of the row only when that time has passed since the end of its send window, by the store's
    clock, or since the holder has taken the term. It may order all other VMs at once.
    """

    def __init__(
        self, rows: RowsClient, term: HeldTerm, reservation_s: float, clock: Clock
    ) -> None:
        """Use the client of the store; no VM may be ordered before `load` has read the row."""
        self._rows = rows
        self._term = term
        self._reservation_s = reservation_s
        self._clock = clock
        self._earlier_until_ms: dict[str, float] = {}
        self._all_reserved = False
        self._send_until_s: dict[str, float] = {}
        self._until_ms: dict[str, float] = {}
        self._store_call_s: float = 0
        self._version = 0

    async def load(self) -> None:
        """Read earlier holders' reservations; raise StoreUnavailableError without an answer."""
        row = await self._rows.read_row(TABLE_TERM, HOLDER_PARTITION, ORDER_RESERVATIONS_KEY)
        self._version = row.version
        self._earlier_until_ms = self._read_row(row)

    def may_reserve(self, vm: str) -> bool:
        """Return whether no reservation of an earlier holder keeps the VM from being ordered."""
        if self._is_earlier_expired():
            return True
        if self._all_reserved:
            return False
        return vm not in self._earlier_until_ms or self._is_expired(self._earlier_until_ms[vm])

    def may_send(self, vm: str) -> bool:
        """Return whether the send window of the VM is open."""
        return self._clock.read_monotonic_s() <= self._send_until_s.get(vm, -math.inf)

    async def reserve(self, vms: Collection[str]) -> bool:
        """Store reservations of the VMs; return False when they must not be ordered yet."""
        now_s = self._clock.read_monotonic_s()
        if all(self._send_until_s.get(vm, -math.inf) - now_s >= MIN_WINDOW_S for vm in vms):
            return True
        window_s = SEND_WINDOW_S + STORE_CALLS_PER_WINDOW * self._store_call_s
        until_ms = self._get_latest_store_ms(now_s + window_s)
        reserved = self._list_unexpired() | dict.fromkeys(vms, until_ms)
        change = RowChange(
            TABLE_TERM, ORDER_RESERVATIONS_KEY, encode_ordered_vms(reserved), self._version
        )
        try:
            self._version = await self._rows.commit(HOLDER_PARTITION, [change])
        except RowsChangedError as error:
            # An own commit whose answer was lost has changed the row, because the row of the term
            # keeps other holders from writing.
            for row in error.rows:
                self._version = row.version
            return False
        except StoreUnavailableError as error:
            log.info('%d VMs not reserved, so they are ordered later: %s', len(vms), error)
            return False
        finally:
            self._store_call_s = self._clock.read_monotonic_s() - now_s
        self._until_ms.update(dict.fromkeys(vms, until_ms))
        self._send_until_s.update(dict.fromkeys(vms, now_s + window_s))
        return True

    def _is_earlier_expired(self) -> bool:
        """Return whether all reservations of earlier holders have expired since the takeover."""
        waited_s = self._clock.read_monotonic_s() - self._term.taken_s
        return self._term.first_fence == 1 or waited_s >= self._reservation_s + ARRIVAL_MARGIN_S

    def _get_latest_store_ms(self, at_s: float) -> float:
        """Return an upper bound of the store's clock at that time."""
        store_time = self._rows.store_time
        return TIME_UNKNOWN_MS if store_time is None else store_time.compute_latest_ms(at_s)

    def _is_expired(self, until_ms: float, margin_s: float = 0) -> bool:
        """Return whether a reservation has expired whose send window ended at that time."""
        store_time = self._rows.store_time
        if store_time is None:
            return False
        now_ms = store_time.compute_earliest_ms(self._clock.read_monotonic_s())
        waited_s = (now_ms - until_ms) / MS_PER_S
        return waited_s >= self._reservation_s + ARRIVAL_MARGIN_S + margin_s

    def _list_unexpired(self) -> dict[str, float]:
        """Return the VMs that a later holder must not order yet, with the ends of their windows."""
        known = (
            self._until_ms
            if self._is_earlier_obsolete()
            else self._earlier_until_ms | self._until_ms
        )
        return {
            vm: until_ms
            for vm, until_ms in known.items()
            if not self._is_expired(until_ms, KEEP_MARGIN_S)
        }

    def _is_earlier_obsolete(self) -> bool:
        """Return whether later holders no longer need the reservations of earlier ones."""
        waited_s = self._clock.read_monotonic_s() - self._term.taken_s
        return waited_s >= self._reservation_s + KEEP_MARGIN_S

    def _read_row(self, row: StoredRow) -> dict[str, float]:
        try:
            return decode_ordered_vms(row.payload)
        except RowFormatError as error:
            log.warning(
                'no VM is ordered until all reservations of earlier holders expire: %s', error
            )
            self._all_reserved = True
            return {}


def encode_ordered_vms(until_ms: Mapping[str, float]) -> bytes:
    """Return the row with the end of the send window of each VM by the store's clock."""
    packed: bytes = msgpack.packb(dict(sorted(until_ms.items())))
    return packed


def decode_ordered_vms(payload: bytes | None) -> dict[str, float]:
    """Return the VMs and the ends of their send windows; raise RowFormatError for another format.

    Nodes of the previous version wrote a list of the names, without times.
    """
    if not payload:
        return {}
    with wrap_row_errors('row of ordered VMs'):
        document = msgpack.unpackb(payload)
        if isinstance(document, list):
            return dict.fromkeys(map(str, document), TIME_UNKNOWN_MS)
        if not isinstance(document, dict):
            raise RowFormatError('row of ordered VMs: expected a map of VM names to times')
        return {str(vm): float(until_ms) for vm, until_ms in document.items()}
