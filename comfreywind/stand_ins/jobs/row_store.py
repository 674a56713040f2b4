"""Rows of the users' table service in memory."""

from dataclasses import dataclass
from typing import Any

import trio

RowName = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A row's value, None once removed, and the version that wrote it."""

    value: str | None
    version: int


class RowStore:
    """Tables with one version counter, atomic transactions and a history of changes."""

    def __init__(self) -> None:
        """Start empty."""
        self.version = 0
        self.rows: dict[RowName, StoredValue] = {}
        self.oldest_history = 0
        self._change = trio.Event()

    def put(self, table: str, key: str, value: str | None) -> None:
        """Write or remove a row of the empty part without a condition."""
        self.apply([], [(table, '', key, value)])

    def apply(
        self,
        expected: list[tuple[RowName, int]],
        changes: list[tuple[str, str, str, str | None]],
    ) -> bool:
        """Apply all changes if each expected version holds; return whether they were applied."""
        if any(self.read_version(name) != version for name, version in expected):
            return False
        self.version += 1
        for table, part, key, value in changes:
            self.rows[table, part, key] = StoredValue(value, self.version)
        self._change.set()
        self._change = trio.Event()
        return True

    def read_version(self, name: RowName) -> int:
        """Return the version of a row, 0 when it does not exist."""
        stored = self.rows.get(name)
        return 0 if stored is None or stored.value is None else stored.version

    def describe(self, name: RowName) -> dict[str, Any]:
        """Return the row as the service shows it."""
        table, part, key = name
        row: dict[str, Any] = {'table_name': table, 'part': part, 'key': key}
        stored = self.rows.get(name, StoredValue(None, 0))
        row['schema_ver'] = stored.version
        if stored.value is None:
            return {**row, 'deleted': True}
        return {**row, 'value': stored.value}

    def list_changes(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the rows of the table changed after the version, oldest first."""
        names = [
            name
            for name, stored in self.rows.items()
            if name[0] == table and stored.version > after
        ]
        names.sort(key=lambda name: self.rows[name].version)
        return [self.describe(name) for name in names]

    async def wait_for_change(self) -> None:
        """Return after the next transaction."""
        await self._change.wait()
