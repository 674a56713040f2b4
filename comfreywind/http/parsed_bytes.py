"""The memory that parsed requests of clients may take up together."""

from collections.abc import Iterator
from contextlib import contextmanager

from comfreywind.decisions.clients.request_size import measure_request
from comfreywind.errors import ComfreywindError

DEFAULT_LIMIT_BYTES = 16_000_000


class ManyPartsError(ComfreywindError):
    """The request has more objects or values than any job needs."""


class ParsedBytesError(ComfreywindError):
    """The requests under way take up what they may; nothing of this one was done."""


class ParsedBytes:
    """Grants memory to requests before they are parsed."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Grant up to the limit."""
        self._free_bytes = limit_bytes

    @contextmanager
    def hold(self, body: bytes) -> Iterator[None]:
        """Hold the memory of a parsed JSON body until the block is left.

        Raises ManyPartsError for a body that must not be parsed, and ParsedBytesError when its
        memory isn't free.
        """
        size = measure_request(body)
        if not size.is_within_limits():
            raise ManyPartsError('the body has too many objects or values')
        size_bytes = size.estimate_parsed_bytes()
        if size_bytes > self._free_bytes:
            raise ParsedBytesError('too many large requests at the same time')
        self._free_bytes -= size_bytes
        try:
            yield
        finally:
            self._free_bytes += size_bytes
