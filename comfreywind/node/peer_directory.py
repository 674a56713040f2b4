"""Registers this node in the store and knows the addresses of the others."""

import logging
from collections.abc import Mapping

import msgpack
import trio

from comfreywind.clock import Clock
from comfreywind.errors import StoreUnavailableError
from comfreywind.jobs.node_data_centre import encode_node_data_centre
from comfreywind.jobs.row_format import RowFormatError, wrap_row_errors
from comfreywind.jobs.tables import NODES_PARTITION, TABLE_NODE_DATA_CENTRES, TABLE_NODES
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.settings.address import Address

# The nodes of a fleet start within 0.3 s of each other and read each other's rows after this time.
FIRST_READ_S = 1.0
INTERVAL_S = 10.0
# A node that has not renewed its row for this time is gone.
EXPIRY_S = 35.0
MS_PER_S = 1000

log = logging.getLogger('comfreywind.peers')


class PeerDirectory:
    """Owns the row of this node and a copy of the rows of the others."""

    def __init__(
        self, rows: RowsClient, node: str, data_centre: str, address: Address, clock: Clock
    ) -> None:
        """Register `node`, which takes relayed calls at the address."""
        self._data_centre = data_centre
        self._rows = rows
        self._node = node
        self._address = address
        self._clock = clock
        self._peers: dict[str, Address] = {}

    def list_peers(self) -> Mapping[str, Address]:
        """Return the addresses of the other nodes by name."""
        return self._peers

    async def run(self) -> None:
        """Renew the row and read the others until cancelled."""
        pause_s = FIRST_READ_S
        while True:
            try:
                await self._refresh(pause_s)
            except StoreUnavailableError as error:
                log.info('nodes not read, trying again: %s', error)
                await trio.sleep(FIRST_READ_S)
            else:
                pause_s = INTERVAL_S

    async def _refresh(self, pause_s: float) -> None:
        await self._renew()
        await trio.sleep(pause_s)
        await self._read()

    async def _renew(self) -> None:
        if self._rows.store_time is None:
            # Any read tells the store's time, which the row needs.
            await self._rows.read_row(TABLE_NODES, NODES_PARTITION, self._node)
        now_ms = self._get_store_ms()
        data_centre = encode_node_data_centre(self._data_centre, now_ms)
        changes = [
            RowChange(TABLE_NODES, self._node, encode_node(self._address, now_ms)),
            RowChange(TABLE_NODE_DATA_CENTRES, self._node, data_centre),
        ]
        await self._rows.commit(NODES_PARTITION, changes)

    async def _read(self) -> None:
        page = await self._rows.read_partition(TABLE_NODES, NODES_PARTITION)
        oldest_ms = self._get_store_ms() - EXPIRY_S * MS_PER_S
        self._peers = {
            row.key: address
            for row in page.rows
            if row.key != self._node and (address := _read_live_address(row, oldest_ms))
        }

    def _get_store_ms(self) -> float:
        store_time = self._rows.store_time
        if store_time is None:
            return 0
        return store_time.compute_earliest_ms(self._clock.read_monotonic_s())


def _read_live_address(row: StoredRow, oldest_ms: float) -> Address | None:
    try:
        address, renewed_ms = decode_node(row.payload)
    except RowFormatError as error:
        log.warning('node %s: unreadable row, no calls are relayed to it: %s', row.key, error)
        return None
    return address if renewed_ms >= oldest_ms else None


def encode_node(address: Address, renewed_ms: float) -> bytes:
    """Return the row of a node, with the time of its renewal on the store's clock."""
    packed: bytes = msgpack.packb([address.host, address.port, renewed_ms])
    return packed


def decode_node(payload: bytes | None) -> tuple[Address, float]:
    """Return address and time of renewal; raise RowFormatError for another format."""
    with wrap_row_errors('row of a node'):
        host, port, renewed_ms = msgpack.unpackb(payload or b'')
        return Address(str(host), int(port)), float(renewed_ms)
