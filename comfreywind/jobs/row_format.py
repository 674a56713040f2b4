"""The error for stored rows that can't be decoded."""

import contextlib
from collections.abc import Iterator

import msgpack


class RowFormatError(ValueError):
    """A row of Comfreywind's tables can't be decoded; another program or version wrote it."""


@contextlib.contextmanager
def wrap_row_errors(subject: str) -> Iterator[None]:
    """Raise RowFormatError, which names the subject, for decoding errors in the block."""
    try:
        yield
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RowFormatError(f'{subject}: {error}') from error
