"""Rows of the platform's partitioned table service, and changes to them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row with its version; `payload` is None for a row that does not exist or was removed.

    The version of a row that never existed is 0.
    """

    table: str
    partition: str
    key: str
    payload: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowChange:
    """Writes `payload`, or removes the row when it is None.

    With an `expected_version` the transaction is refused unless the row has that version; 0
    requires that the row does not exist.
    """

    table: str
    key: str
    payload: bytes | None
    expected_version: int | None = None


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows read, and the newest version of the store at that moment.

    `has_more` is set when further rows follow on the next page.
    """

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool = False
