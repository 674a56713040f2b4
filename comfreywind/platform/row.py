"""A row of the table service."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Row:
    """A row with its version; `value` is None in the change feed for a row that was deleted."""

    table: str
    key: str
    version: int
    value: dict[str, Any] | None
