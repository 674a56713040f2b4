"""Inverts small symmetric positive definite matrices."""


def invert(matrix: list[list[float]]) -> list[list[float]] | None:
    """Return the inverse, or None if the matrix is not positive definite in floating point.

    By Gauss-Jordan elimination without pivoting, which such a matrix does not need. It is meant for
    some dozen rows; the project has no library for linear algebra.
    """
    size = len(matrix)
    rows = [
        [*row, *(float(column == number) for column in range(size))]
        for number, row in enumerate(matrix)
    ]
    for number, pivot_row in enumerate(rows):
        pivot = pivot_row[number]
        if not pivot > 0:
            return None
        scaled = [element / pivot for element in pivot_row]
        rows[number] = scaled
        for other, row in enumerate(rows):
            if other != number and row[number]:
                rows[other] = _subtract(row, scaled, row[number])
    return [row[size:] for row in rows]


def _subtract(row: list[float], other: list[float], factor: float) -> list[float]:
    return [element - factor * subtrahend for element, subtrahend in zip(row, other, strict=True)]
