"""What operators can do: bundle versions and keys."""

import logging
from typing import Any

from comfreywind.bundle.digest import compute_digest
from comfreywind.bundle.parse import parse_bundle
from comfreywind.decisions.keys import NewKey, make_key
from comfreywind.errors import ObjectExistsError, OperationRefusedError, RowConflictError
from comfreywind.platform.object_client import ObjectClient
from comfreywind.platform.row import Row
from comfreywind.platform.row_write import MISSING_VERSION, RowWrite
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import ROW_BUNDLE, TABLE_BUNDLES, TABLE_CURRENT, TABLE_KEYS

STATE_CREATED = 'created'
STATE_SIGNED_OFF = 'signed-off'
STATE_GRANTED = 'granted'
STATE_WITHDRAWN = 'withdrawn'

log = logging.getLogger('comfreywind.operations')


class Operations:
    """Changes of bundles and keys, decided by compare-and-set on the platform's rows."""

    def __init__(self, tables: TableClient, objects: ObjectClient) -> None:
        """Use the given clients."""
        self._tables = tables
        self._objects = objects

    async def create_version(self, version: int, document: object) -> str:
        """Store a bundle as a new version and return its digest.

        Raises BundleError for a bad bundle and OperationRefusedError when the version exists.
        """
        parse_bundle(document, f'bundle version {version}')
        digest = compute_digest(document)
        try:
            await self._objects.write_new(f'bundles-{digest}', document)
        except ObjectExistsError:
            log.info('the content of bundle version %d is stored already', version)
        row_fields = {'digest': digest, 'state': STATE_CREATED}
        write = RowWrite(TABLE_BUNDLES, str(version), MISSING_VERSION, row_fields)
        await self._commit(write, f'bundle version {version} exists already')
        return digest

    async def sign_off(self, version: int) -> None:
        """Mark a created version as signed off."""
        row = await self._read_version(version)
        write = RowWrite(
            TABLE_BUNDLES, row.key, row.version, {**_read_fields(row), 'state': STATE_SIGNED_OFF}
        )
        await self._commit(write, f'bundle version {version} was changed by someone else')

    async def roll_out(self, version: int) -> None:
        """Put a signed-off version into force; only a higher version is accepted."""
        row = await self._read_version(version)
        fields = _read_fields(row)
        if fields['state'] != STATE_SIGNED_OFF:
            raise OperationRefusedError(f'bundle version {version} is not signed off')
        current = await self._tables.read_row(TABLE_CURRENT, ROW_BUNDLE)
        current_version = _read_fields(current)['version'] if current else 0
        if version <= current_version:
            raise OperationRefusedError(
                f'bundle version {current_version} is in force and {version} is not higher'
            )
        write = RowWrite(
            TABLE_CURRENT,
            ROW_BUNDLE,
            current.version if current else MISSING_VERSION,
            {'version': version, 'digest': fields['digest']},
        )
        await self._commit(write, 'another roll-out was faster')

    async def grant_key(self, team: str) -> NewKey:
        """Grant a new key to the team."""
        key = make_key()
        row_fields = {'team': team, 'secret_sha256': key.secret_sha256, 'state': STATE_GRANTED}
        write = RowWrite(TABLE_KEYS, key.key_id, MISSING_VERSION, row_fields)
        await self._commit(write, 'the new key id is taken')
        return key

    async def withdraw_key(self, key_id: str) -> None:
        """Withdraw a key; withdrawing it again changes nothing."""
        row = await self._tables.read_row(TABLE_KEYS, key_id)
        if row is None:
            raise OperationRefusedError(f'there is no key {key_id!r}')
        fields = {**_read_fields(row), 'state': STATE_WITHDRAWN}
        write = RowWrite(TABLE_KEYS, key_id, row.version, fields)
        await self._commit(write, f'key {key_id} was changed by someone else')

    async def _read_version(self, version: int) -> Row:
        row = await self._tables.read_row(TABLE_BUNDLES, str(version))
        if row is None:
            raise OperationRefusedError(f'there is no bundle version {version}')
        return row

    async def _commit(self, write: RowWrite, conflict_text: str) -> None:
        try:
            await self._tables.commit([write])
        except RowConflictError as error:
            raise OperationRefusedError(conflict_text) from error


def _read_fields(row: Row) -> dict[str, Any]:
    return row.value or {}
