"""What a read of the change feed returns."""

from dataclasses import dataclass

from comfreywind.platform.row import Row


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows changed since the asked sequence, oldest first, and the sequence they reach."""

    sequence: int
    rows: tuple[Row, ...]
