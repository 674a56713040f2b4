"""The rows that control work is decided from, as the change feed delivers them."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from comfreywind.clock import Clock
from comfreywind.platform.changes import Changes
from comfreywind.platform.row import Row
from comfreywind.platform.table_names import (
    TABLE_BUDGETS,
    TABLE_CONTROL,
    TABLE_MEMBERS,
    TABLE_VMS,
)

CONTROL_TABLES = (TABLE_VMS, TABLE_CONTROL, TABLE_BUDGETS, TABLE_MEMBERS)


@dataclass(frozen=True, slots=True)
class SeenRow:
    """A row, the feed sequence of the read that brought it and the monotonic time of that."""

    row: Row
    sequence: int
    seen_s: float


class ControlView:
    """All rows of the control tables at one sequence of the feed.

    Since one read of the feed covers all tables, the rows together are a consistent snapshot.
    """

    def __init__(self, clock: Clock) -> None:
        """Start empty, at sequence 0."""
        self._clock = clock
        self._rows: dict[tuple[str, str], SeenRow] = {}
        self.sequence = 0

    def apply_changes(self, changes: Changes) -> None:
        """Take the rows of one read of the feed."""
        now_s = self._clock.read_monotonic_s()
        for row in changes.rows:
            if row.table in CONTROL_TABLES:
                self._rows[row.table, row.key] = SeenRow(row, changes.sequence, now_s)
        self.sequence = changes.sequence

    def find(self, table: str, key: str) -> SeenRow | None:
        """Return the row, which has the value None when it was deleted, or None."""
        return self._rows.get((table, key))

    def read_version(self, table: str, key: str) -> int:
        """Return the version of the row, 0 for a missing one."""
        seen = self._rows.get((table, key))
        return 0 if seen is None or seen.row.value is None else seen.row.version

    def read_fields(self, table: str, key: str) -> dict[str, Any]:
        """Return the value of the row, empty for a missing one."""
        seen = self._rows.get((table, key))
        if seen is None or seen.row.value is None:
            return {}
        return seen.row.value

    def list_rows(self, table: str) -> Iterator[SeenRow]:
        """Return the rows of the table that are not deleted."""
        for (row_table, _), seen in self._rows.items():
            if row_table == table and seen.row.value is not None:
                yield seen
