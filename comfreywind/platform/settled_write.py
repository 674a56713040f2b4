"""Commits a conditional write to one row and finds out what became of it."""

import logging
import uuid
from typing import Any

from comfreywind.decisions.resolve_write import WriteOutcome, resolve_write
from comfreywind.errors import RowConflictError, StoreUnavailableError
from comfreywind.platform.row import Row
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient

ATTEMPTS = 3
WRITE_ID = 'write_id'

log = logging.getLogger('comfreywind.platform')


async def commit_settled(tables: TableClient, old: Row, fields: dict[str, Any]) -> Row:
    """Write the fields to the row as it was read and return the new row.

    `old` has version 0 for a row that must not exist. The row gets a write id, by which a write
    whose reply was lost is recognised. Raises RowConflictError when someone else has changed the
    row, and StoreUnavailableError when it is not known whether the write took effect.
    """
    write_fields = {**fields, WRITE_ID: uuid.uuid4().hex}
    write = RowWrite(old.table, old.key, old.version, write_fields)
    for attempt in range(ATTEMPTS):
        row = await _try_commit(tables, write, first=attempt == 0)
        if row is not None:
            return row
        log.info('the write to %s/%s had no reply and is sent again', old.table, old.key)
    raise StoreUnavailableError(f'{old.table}/{old.key}: not known whether it was written')


async def _try_commit(tables: TableClient, write: RowWrite, first: bool) -> Row | None:
    """Return the new row, or None when the write has not taken effect yet."""
    try:
        versions = await tables.commit([write])
    except StoreUnavailableError:
        return await _settle(tables, write)
    except RowConflictError:
        if first:
            raise
        return await _settle(tables, write)
    return Row(write.table, write.key, versions[0], write.value)


async def _settle(tables: TableClient, write: RowWrite) -> Row | None:
    row = await tables.read_row(write.table, write.key)
    found = row or Row(write.table, write.key, 0, None)
    expected_version = write.expected_version or 0
    outcome = resolve_write(
        expected_version, _read_write_id(write.value), found.version, _read_write_id(found.value)
    )
    if outcome is WriteOutcome.REFUSED:
        raise RowConflictError({(write.table, write.key): found.version})
    if outcome is WriteOutcome.UNKNOWN:
        raise StoreUnavailableError(
            f'{write.table}/{write.key}: the reply was lost and the row has changed since'
        )
    return found if outcome is WriteOutcome.APPLIED else None


def _read_write_id(fields: dict[str, Any] | None) -> str:
    return str((fields or {}).get(WRITE_ID, ''))
