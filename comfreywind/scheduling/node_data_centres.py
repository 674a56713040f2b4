"""The data centres in which there are nodes, by the rows of the nodes."""

import logging

from comfreywind.clock import Clock
from comfreywind.errors import StoreUnavailableError
from comfreywind.jobs.node_data_centre import decode_node_data_centre
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import NODES_PARTITION, TABLE_NODE_DATA_CENTRES
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.store_time import StoreTime
from comfreywind.platform.stored_row import StoredRow

# Nodes renew their rows every 10 s.
READ_INTERVAL_S = 10.0
# A node that has not renewed its row for this time is gone.
EXPIRY_S = 35.0
MS_PER_S = 1000

log = logging.getLogger('comfreywind.evacuation')


class NodeDataCentres:
    """Reads the rows only on request, as they matter for few evacuations.

    `found` is None before the first read. Nodes of earlier versions have no row.
    """

    def __init__(self, rows: RowsClient, clock: Clock) -> None:
        """Read with the store's client."""
        self._rows = rows
        self._clock = clock
        self._read_s = float('-inf')
        self.found: frozenset[str] | None = None

    async def refresh(self) -> None:
        """Read the rows, unless that was done shortly before."""
        now_s = self._clock.read_monotonic_s()
        if now_s - self._read_s < READ_INTERVAL_S:
            return
        try:
            page = await self._rows.read_partition(TABLE_NODE_DATA_CENTRES, NODES_PARTITION)
        except StoreUnavailableError as error:
            log.info('data centres of nodes not read, trying again: %s', error)
            return
        store_time = self._rows.store_time
        live = (_read_live(row, store_time, now_s) for row in page.rows)
        self.found = frozenset(data_centre for data_centre in live if data_centre is not None)
        self._read_s = now_s


def _read_live(row: StoredRow, store_time: StoreTime | None, now_s: float) -> str | None:
    """Return the data centre of a node that is not gone, or None."""
    try:
        data_centre, renewed_ms = decode_node_data_centre(row.payload)
    except RowFormatError as error:
        log.warning('node %s: unreadable row of its data centre: %s', row.key, error)
        return None
    if store_time is None:
        return data_centre
    oldest_ms = store_time.compute_earliest_ms(now_s) - EXPIRY_S * MS_PER_S
    return data_centre if renewed_ms >= oldest_ms else None
