"""Text tables for the terminal."""

from collections.abc import Iterable, Sequence

SEPARATOR = '  '


def format_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return the table with aligned columns; a missing cell (None) becomes a hyphen."""
    lines = [list(headings), *([_format_cell(cell) for cell in row] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    return '\n'.join(
        SEPARATOR.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _format_cell(cell: object) -> str:
    return '-' if cell is None else str(cell)
