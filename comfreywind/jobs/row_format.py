"""Rows of our own tables that can't be read."""

import contextlib
from collections.abc import Iterator

import msgpack


class RowFormatError(ValueError):
    """A row of our own tables can't be read; another program or version wrote it."""


@contextlib.contextmanager
def wrap_row_errors(subject: str) -> Iterator[None]:
    """Turn the errors of unpacking a row into RowFormatError, which names the subject."""
    try:
        yield
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RowFormatError(f'{subject}: {error}') from error
