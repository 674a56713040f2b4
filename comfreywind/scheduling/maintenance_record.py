"""Keeps the row that names the VMs whose maintenance has begun, for later holders."""

import logging

from comfreywind.errors import RowsChangedError
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import HOLDER_PARTITION, TABLE_TERM
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.scheduling.maintenance_row import (
    MAINTENANCE_KEY,
    decode_maintenance,
    encode_maintenance,
)

log = logging.getLogger('comfreywind.upkeep')


class MaintenanceRecord:
    """The VMs of each wave of which the VM service has confirmed that their maintenance has begun."""

    def __init__(self, rows: RowsClient) -> None:
        """Use the store's client; nothing is known before `load`."""
        self._rows = rows
        self._begun: dict[int, set[str]] = {}
        self._stored: dict[int, set[str]] = {}
        self._version = 0

    async def load(self) -> None:
        """Read what earlier holders have stored; raise StoreUnavailableError without an answer."""
        row = await self._rows.read_row(TABLE_TERM, HOLDER_PARTITION, MAINTENANCE_KEY)
        self._merge(row)

    def add(self, wave: int, vm: str) -> None:
        """Add a VM whose maintenance the service has confirmed."""
        self._begun.setdefault(wave, set()).add(vm)

    def has_begun(self, wave: int, vm: str) -> bool:
        """Return whether the maintenance of a VM has begun in this wave."""
        return vm in self._begun.get(wave, ())

    def is_stored(self) -> bool:
        """Return whether the store knows everything that was added."""
        return self._begun == self._stored

    async def store(self) -> None:
        """Store what was added since; raise StoreUnavailableError without an answer.

        After a conflict nothing is stored, and the next call tries again.
        """
        if self.is_stored():
            return
        begun = {wave: set(vms) for wave, vms in self._begun.items()}
        change = RowChange(TABLE_TERM, MAINTENANCE_KEY, encode_maintenance(begun), self._version)
        try:
            self._version = await self._rows.commit(HOLDER_PARTITION, [change])
        except RowsChangedError as error:
            log.info('maintenance row changed, storing it again: %s', error)
            for row in error.rows:
                self._merge(row)
        else:
            self._stored = begun

    def _merge(self, row: StoredRow) -> None:
        """Add what a row names.

        Without a readable row all VMs count as due. That is safe, because the VM service doesn't
        carry out a maintenance again that is done.
        """
        self._version = row.version
        try:
            self._stored = decode_maintenance(row.payload)
        except RowFormatError as error:
            log.warning('maintenance row unreadable, so all VMs of the waves are due: %s', error)
            self._stored = {}
        for wave, vms in self._stored.items():
            self._begun.setdefault(wave, set()).update(vms)
