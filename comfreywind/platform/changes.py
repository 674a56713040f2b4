"""The result of a read of the change feed."""

from dataclasses import dataclass

from comfreywind.platform.row import Row


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows changed after the requested sequence number, oldest first.

    `sequence` is the number up to which the rows are complete; the next read starts after it.
    """

    sequence: int
    rows: tuple[Row, ...]
