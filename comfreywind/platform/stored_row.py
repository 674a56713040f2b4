"""Rows of the users' table service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row with its version; `payload` is None for a row that does not exist (version 0)."""

    table: str
    partition: str
    key: str
    payload: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowChange:
    """Writes `payload`, or removes the row for None.

    With an `expected_version` the transaction is refused unless the row has it; 0 means that the
    row must not exist.
    """

    table: str
    key: str
    payload: bytes | None
    expected_version: int | None = None


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows read and the newest version of the store at that moment."""

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool = False
