"""A row of the table service."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Row:
    """A row with its version; `value` is None for a deleted row in a list of changes."""

    table: str
    key: str
    version: int
    value: dict[str, Any] | None
