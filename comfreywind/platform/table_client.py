"""Client of the platform's table service."""

from collections.abc import Iterable, Sequence
from dataclasses import asdict
from urllib.parse import quote

from comfreywind.errors import RowConflictError
from comfreywind.http.client import HttpClient
from comfreywind.platform.changes import Changes
from comfreywind.platform.row import Row
from comfreywind.platform.row_write import RowWrite
from comfreywind.platform.store_call import call_store

STATUS_CONFLICT = 409
STATUS_MISSING = 404


class TableClient:
    """Reads rows and changes, and commits transactions."""

    def __init__(self, client: HttpClient) -> None:
        """Use the given client; its timeout applies to each call."""
        self._client = client

    async def read_row(self, table: str, key: str) -> Row | None:
        """Return the row, or None when it does not exist.

        Raises StoreUnavailableError when the service gives no reply.
        """
        path = f'/v1/tables/{table}/rows/{quote(key, safe="")}'
        reply = await call_store(self._client, 'GET', path)
        if reply.status == STATUS_MISSING:
            return None
        return Row(**reply.read_json())

    async def read_changes(self, after_sequence: int, tables: Iterable[str]) -> Changes:
        """Return the rows of the tables that changed after the sequence number."""
        path = f'/v1/changes?after_sequence={after_sequence}&tables={",".join(tables)}'
        reply = await call_store(self._client, 'GET', path)
        document = reply.read_json()
        return Changes(document['sequence'], tuple(Row(**row) for row in document['rows']))

    async def commit(self, writes: Sequence[RowWrite]) -> tuple[int, ...]:
        """Commit all writes or none; return the new versions in the order of the writes.

        Raises RowConflictError when a row did not have its expected version, so that nothing was
        written, and StoreUnavailableError when the outcome is unknown.
        """
        document = {'writes': [asdict(write) for write in writes]}
        reply = await call_store(self._client, 'POST', '/v1/transactions', document)
        reply_document = reply.read_json()
        if reply.status == STATUS_CONFLICT:
            raise RowConflictError(
                {(row['table'], row['key']): row['version'] for row in reply_document['conflicts']}
            )
        return tuple(reply_document['versions'])
