"""The error for stored rows that can't be decoded."""

import contextlib
from collections.abc import Iterator

import msgpack


# What decoding a row in an unexpected form raises.
ROW_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    ArithmeticError,
    AttributeError,
    msgpack.UnpackException,
)


class RowFormatError(ValueError):
    """A row of Comfreywind's tables can't be decoded; another program or version wrote it."""


@contextlib.contextmanager
def wrap_row_errors(subject: str) -> Iterator[None]:
    """Raise RowFormatError, which names the subject, for decoding errors in the block."""
    try:
        yield
    except ROW_ERRORS as error:
        raise RowFormatError(f'{subject}: {error}') from error
