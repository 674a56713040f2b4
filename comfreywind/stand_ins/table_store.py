"""The table service's data: rows with versions and one sequence of changes."""

from dataclasses import dataclass
from typing import Any

RowKey = tuple[str, str]


@dataclass(slots=True)
class StoredRow:
    """A row; a deleted row keeps its version with the value None."""

    version: int
    sequence: int
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A write on condition of a version: 0 means missing, None means any."""

    table: str
    key: str
    expected_version: int | None
    value: dict[str, Any] | None


class TableStore:
    """All tables in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[RowKey, StoredRow] = {}
        self.sequence = 0
        self.transactions_count = 0
        self.reads_count = 0

    def read_row(self, table: str, key: str) -> dict[str, Any] | None:
        """Return the row as a document, or None for a missing one."""
        row = self._rows.get((table, key))
        if row is None or row.value is None:
            return None
        return {'table': table, 'key': key, 'version': row.version, 'value': row.value}

    def read_changes(self, after_sequence: int, tables: set[str]) -> list[dict[str, Any]]:
        """Return the rows of the tables that changed after the sequence, oldest first."""
        changed = [
            (row.sequence, table, key, row)
            for (table, key), row in self._rows.items()
            if row.sequence > after_sequence and table in tables
        ]
        return [
            {'table': table, 'key': key, 'version': row.version, 'value': row.value}
            for _, table, key, row in sorted(changed, key=lambda change: change[0])
        ]

    def commit(self, writes: list[RowWrite]) -> list[dict[str, Any]]:
        """Apply all writes, or none of them and return the conflicting rows."""
        conflicts = [
            {'table': write.table, 'key': write.key, 'version': self._read_version(write)}
            for write in writes
            if write.expected_version not in {None, self._read_version(write)}
        ]
        if conflicts:
            return conflicts
        self.transactions_count += 1
        for write in writes:
            self._apply(write)
        return []

    def read_stored_version(self, table: str, key: str) -> int:
        """Return the version counter of the row, which also counts deletions."""
        row = self._rows.get((table, key))
        return row.version if row else 0

    def _read_version(self, write: RowWrite) -> int:
        row = self._rows.get((write.table, write.key))
        return row.version if row and row.value is not None else 0

    def _apply(self, write: RowWrite) -> None:
        self.sequence += 1
        version = self.read_stored_version(write.table, write.key) + 1
        self._rows[write.table, write.key] = StoredRow(version, self.sequence, write.value)
