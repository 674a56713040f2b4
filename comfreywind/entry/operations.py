"""Operators' changes of bundle versions and keys."""

import logging
from typing import Any

from comfreywind.bundle.digest import compute_digest
from comfreywind.bundle.parse import parse_bundle
from comfreywind.decisions.keys import NewKey, TeamKey, make_key
from comfreywind.entry.bundle_loading import make_offer
from comfreywind.entry.feed import parse_key_row
from comfreywind.errors import (
    BundleError,
    ObjectExistsError,
    ObjectMissingError,
    OperationRefusedError,
    RowConflictError,
    StoreUnavailableError,
)
from comfreywind.peers.messages.bundle_offer import BundleOffer
from comfreywind.platform.object_client import ObjectClient
from comfreywind.platform.resolved_write import commit_resolved
from comfreywind.platform.row import Row
from comfreywind.platform.row_write import MISSING_VERSION
from comfreywind.platform.table_client import TableClient
from comfreywind.platform.table_names import ROW_BUNDLE, TABLE_BUNDLES, TABLE_CURRENT, TABLE_KEYS

STATE_CREATED = 'created'
STATE_SIGNED_OFF = 'signed-off'
STATE_GRANTED = 'granted'
STATE_WITHDRAWN = 'withdrawn'
CONTENT_WRITE_ATTEMPTS = 3

log = logging.getLogger('comfreywind.operations')


class Operations:
    """Changes bundle versions and keys by compare-and-set on rows of the store."""

    def __init__(self, tables: TableClient, objects: ObjectClient) -> None:
        """Keep rows in `tables` and the content of the bundles in `objects`."""
        self._tables = tables
        self._objects = objects

    async def create_version(self, version: int, document: object) -> str:
        """Store a bundle as a new version and return its digest.

        Raises BundleError for an invalid bundle and OperationRefusedError if the version exists.
        """
        parse_bundle(document, f'bundle version {version}')
        digest = compute_digest(document)
        await self._store_content(digest, document)
        missing_row = Row(TABLE_BUNDLES, str(version), MISSING_VERSION, None)
        fields = {'digest': digest, 'state': STATE_CREATED}
        await self._commit(missing_row, fields, f'bundle version {version} exists already')
        return digest

    async def sign_off(self, version: int) -> None:
        """Sign off a created version; raise OperationRefusedError if there is no such version."""
        row = await self._read_version_row(version)
        fields = {**_get_fields(row), 'state': STATE_SIGNED_OFF}
        await self._commit(row, fields, f'bundle version {version} was changed by someone else')

    async def roll_out(self, version: int) -> BundleOffer:
        """Put a signed-off version into force, if it is higher than the current one, and return it.

        The content is read first, because no entry could refresh its rules if the version in force
        had no readable content.
        """
        row = await self._read_version_row(version)
        fields = _get_fields(row)
        if fields['state'] != STATE_SIGNED_OFF:
            raise OperationRefusedError(f'bundle version {version} is not signed off')
        offer = await self._read_offer(version, fields['digest'])
        current_row = await self._tables.read_row(TABLE_CURRENT, ROW_BUNDLE)
        current_version = _get_fields(current_row)['version'] if current_row else 0
        if version <= current_version:
            raise OperationRefusedError(
                f'bundle version {current_version} is in force and {version} is not higher'
            )
        old_row = current_row or Row(TABLE_CURRENT, ROW_BUNDLE, MISSING_VERSION, None)
        current_fields = {'version': version, 'digest': fields['digest']}
        await self._commit(old_row, current_fields, 'another roll-out was faster')
        return offer

    async def grant_key(self, team: str) -> tuple[NewKey, TeamKey]:
        """Grant a new key to the team; return the key with its secret and its stored form."""
        key = make_key()
        missing_row = Row(TABLE_KEYS, key.key_id, MISSING_VERSION, None)
        fields = {'team': team, 'secret_sha256': key.secret_sha256, 'state': STATE_GRANTED}
        row = await self._commit(missing_row, fields, 'the new key id is taken')
        return key, parse_key_row(row)

    async def withdraw_key(self, key_id: str) -> TeamKey:
        """Withdraw a key and return its stored form; withdrawing it again changes nothing."""
        row = await self._tables.read_row(TABLE_KEYS, key_id)
        if row is None:
            raise OperationRefusedError(f'there is no key {key_id!r}')
        if _get_fields(row)['state'] == STATE_WITHDRAWN:
            return parse_key_row(row)
        fields = {**_get_fields(row), 'state': STATE_WITHDRAWN}
        new_row = await self._commit(row, fields, f'key {key_id} was changed by someone else')
        return parse_key_row(new_row)

    async def _store_content(self, digest: str, document: object) -> None:
        for _ in range(CONTENT_WRITE_ATTEMPTS):
            try:
                await self._objects.write_new(f'bundles-{digest}', document)
            except ObjectExistsError:
                return
            except StoreUnavailableError as error:
                log.info('write of bundle content %s was not confirmed: %s', digest, error)
            else:
                return
        raise StoreUnavailableError(f"the content {digest} can't be written")

    async def _read_offer(self, version: int, digest: str) -> BundleOffer:
        try:
            return make_offer(version, digest, await self._objects.read(f'bundles-{digest}'))
        except (ObjectMissingError, BundleError) as error:
            raise OperationRefusedError(
                f'the content of bundle version {version} is not in the object store: {error}'
            ) from error

    async def _read_version_row(self, version: int) -> Row:
        row = await self._tables.read_row(TABLE_BUNDLES, str(version))
        if row is None:
            raise OperationRefusedError(f'there is no bundle version {version}')
        return row

    async def _commit(self, old_row: Row, fields: dict[str, Any], conflict_text: str) -> Row:
        try:
            return await commit_resolved(self._tables, old_row, fields)
        except RowConflictError as error:
            raise OperationRefusedError(conflict_text) from error


def _get_fields(row: Row) -> dict[str, Any]:
    return row.value or {}
