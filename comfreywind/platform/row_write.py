"""A conditional write to the table service."""

from dataclasses import dataclass
from typing import Any

MISSING_VERSION = 0


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Writes `value`, or deletes the row for None, when the row has the expected version.

    An expected version of 0 means that the row must not exist; None accepts any version.
    """

    table: str
    key: str
    expected_version: int | None
    value: dict[str, Any] | None
