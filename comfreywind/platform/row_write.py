"""A conditional write to the table service."""

from dataclasses import dataclass
from typing import Any

MISSING_VERSION = 0


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Writes `value`, or deletes the row when it is None, if the row has the expected version.

    An expected version of 0 requires that the row does not exist; None accepts any version.
    """

    table: str
    key: str
    expected_version: int | None
    value: dict[str, Any] | None
