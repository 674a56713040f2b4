"""Commits a conditional write to one row and resolves its outcome when the reply is lost."""

import logging
import uuid
from typing import Any

from comfreywind.decisions.resolve_write import WriteOutcome, resolve_write
from comfreywind.errors import RowConflictError, StoreUnavailableError
from comfreywind.platform.row import Row
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.table_client import TableClient

ATTEMPTS = 3
# Field of a row that identifies the write that it comes from.
WRITE_ID = 'write_id'

log = logging.getLogger('comfreywind.platform')


async def commit_resolved(tables: TableClient, old: Row, fields: dict[str, Any]) -> Row:
    """Replace the fields of a row if it still has the version of `old`; return the new row.

    `old` has version 0 for a row that must not exist. The row gets a unique write id, which shows
    whether a write whose reply was lost took effect. Raises RowConflictError when another writer
    has changed the row, and StoreUnavailableError when the outcome remains unknown.
    """
    write_fields = {**fields, WRITE_ID: uuid.uuid4().hex}
    write = RowWrite(old.table, old.key, old.version, write_fields)
    for attempt in range(ATTEMPTS):
        row = await _commit_and_resolve(tables, write, first=attempt == 0)
        if row is not None:
            return row
        log.info(
            'write to row %s/%s: reply lost and row unchanged, tried again within the limit',
            old.table,
            old.key,
        )
    raise StoreUnavailableError(f'{old.table}/{old.key}: not known whether it was written')


async def _commit_and_resolve(tables: TableClient, write: RowWrite, first: bool) -> Row | None:
    """Return the new row, or None when the write has not taken effect yet.

    A conflict on the first attempt comes from another writer. On a later one it may come from an
    earlier attempt of this write, so the row is read to tell the two apart.
    """
    try:
        versions = await tables.commit([write])
    except StoreUnavailableError:
        return await _resolve(tables, write)
    except RowConflictError:
        if first:
            raise
        return await _resolve(tables, write)
    return Row(write.table, write.key, versions[0], write.value)


async def _resolve(tables: TableClient, write: RowWrite) -> Row | None:
    """Read the row to determine the outcome of the write; return the new row or None."""
    row = await tables.read_row(write.table, write.key)
    current = row or Row(write.table, write.key, 0, None)
    expected_version = write.expected_version or 0
    outcome = resolve_write(
        expected_version,
        _read_write_id(write.value),
        current.version,
        _read_write_id(current.value),
    )
    if outcome is WriteOutcome.REFUSED:
        raise RowConflictError({(write.table, write.key): current.version})
    if outcome is WriteOutcome.UNKNOWN:
        raise StoreUnavailableError(
            f'{write.table}/{write.key}: the reply was lost and the row has changed since'
        )
    return current if outcome is WriteOutcome.APPLIED else None


def _read_write_id(fields: dict[str, Any] | None) -> str:
    return str((fields or {}).get(WRITE_ID, ''))
