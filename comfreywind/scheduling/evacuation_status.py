"""Writes the rows that show the operator the state of each evacuation."""

import logging
from collections.abc import Callable, Mapping

from comfreywind.decisions.scheduling.evacuation_state import EvacuationState
from comfreywind.errors import RowsChangedError
from comfreywind.platform.evacuation_codec import (
    decode_evacuation_state,
    encode_evacuation_state,
)
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.stored_row import RowChange, StoredRow
from comfreywind.platform.wire import PREFIX_EVACUATION, TABLE_STATUS

log = logging.getLogger('comfreywind.evacuation')


class EvacuationStatus:
    """Owns the rows `status/evacuate/ZONE` during a term.

    Each write requires the version that was last seen, so that a late write of an earlier holder
    changes nothing.
    """

    def __init__(self, rows: RowsClient, permit: Callable[[], bool]) -> None:
        """Write only while `permit` returns True."""
        self._rows = rows
        self._permit = permit
        self._stored: dict[str, StoredRow] = {}
        self._versions: dict[str, int] = {}

    @property
    def stored(self) -> Mapping[str, EvacuationState | None]:
        """Return the stored states by data centre; one that can't be read is None."""
        return {
            data_centre: decode_evacuation_state(row.payload or b'')
            for data_centre, row in self._stored.items()
        }

    async def load(self) -> None:
        """Read the rows of earlier holders; raise StoreUnavailableError without an answer."""
        for key in await self._rows.read_versions(TABLE_STATUS, '', PREFIX_EVACUATION):
            self._apply(await self._rows.read_row(TABLE_STATUS, '', key))

    async def publish(self, states: Mapping[str, EvacuationState]) -> None:
        """Write the states that have changed, and remove the rows of all others.

        Raises StoreUnavailableError without an answer; the next call tries again.
        """
        for data_centre in sorted(states.keys() | self._stored.keys()):
            state = states.get(data_centre)
            payload = None if state is None else encode_evacuation_state(state)
            if payload != self._get_stored_payload(data_centre):
                await self._write(data_centre, payload)

    def _get_stored_payload(self, data_centre: str) -> bytes | None:
        row = self._stored.get(data_centre)
        return None if row is None else row.payload

    async def _write(self, data_centre: str, payload: bytes | None) -> None:
        key = f'{PREFIX_EVACUATION}{data_centre}'
        change = RowChange(TABLE_STATUS, key, payload, self._versions.get(data_centre, 0))
        try:
            version = await self._rows.commit('', [change], self._permit)
        except RowsChangedError as error:
            # A write whose answer was lost, or one of an earlier holder.
            for row in error.rows:
                self._apply(row)
            return
        self._apply(StoredRow(TABLE_STATUS, '', key, payload, version))

    def _apply(self, row: StoredRow) -> None:
        data_centre = row.key.removeprefix(PREFIX_EVACUATION)
        if row.payload is None:
            self._stored.pop(data_centre, None)
            self._versions[data_centre] = 0
        else:
            self._stored[data_centre] = row
            self._versions[data_centre] = row.version
