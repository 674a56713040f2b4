"""The answer of a target."""

from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass
from typing import Any

import httpcore

from comfreywind.decisions.refusal import Outcome
from comfreywind.entry.header_rules import find_header
from comfreywind.entry.target_work import TargetWork
from comfreywind.http.asgi_types import HeaderList

STATUS_UNAVAILABLE = 503
LOWEST_SERVER_ERROR = 500
BODILESS_STATUSES = frozenset((204, 304))
HIGHEST_INFORMATIONAL = 199


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """Status, headers and the first part of the body, which is all of it when `complete`."""

    status: int
    headers: HeaderList
    head: bytes
    complete: bool
    chunks: AsyncGenerator[bytes, None]
    work: TargetWork

    async def discard(self) -> None:
        """End the exchange without reading the rest of the body."""
        await self.chunks.aclose()
        self.work.end()

    def says_not_run(self) -> bool:
        """Return whether the target states that it has not run the request."""
        if self.status != STATUS_UNAVAILABLE or not self.complete:
            return False
        return find_header(self.headers, b'comfreywind-outcome') == Outcome.NOT_RUN.value

    def is_error(self) -> bool:
        """Return whether the target states a failure of its own."""
        return self.status >= LOWEST_SERVER_ERROR


async def read_answer(
    request: httpcore.Request, work: TargetWork, buffer_limit_bytes: int
) -> TargetAnswer:
    """Send the request, read the answer up to the limit and return it.

    Raises httpcore errors for a broken exchange. A body that ends with the connection is refused,
    because a cut one could not be told from a whole one (RFC 9112 section 8).
    """
    response = await work.connection.send(request)
    headers = list(response.headers)
    if response.status <= HIGHEST_INFORMATIONAL:
        raise httpcore.RemoteProtocolError(f'unexpected status {response.status}')
    if not _has_known_end(request.method, response.status, headers):
        raise httpcore.RemoteProtocolError('the body has neither a length nor chunks')
    # httpcore declares a plain iterable; it is a closable stream with a generator as its iterator.
    body: Any = response.stream
    chunks: AsyncGenerator[bytes, None] = aiter(body)
    head, complete = await _read_head(chunks, buffer_limit_bytes)
    answer = TargetAnswer(response.status, headers, head, complete, chunks, work)
    if complete:
        await body.aclose()
        work.end(complete=True, keeps_place=answer.says_not_run())
    return answer


async def _read_head(chunks: AsyncIterator[bytes], limit_bytes: int) -> tuple[bytes, bool]:
    """Return the body up to about the limit and whether that is all of it."""
    parts: list[bytes] = []
    size_bytes = 0
    async for chunk in chunks:
        parts.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            return b''.join(parts), False
    return b''.join(parts), True


def _has_known_end(method: bytes, status: int, headers: HeaderList) -> bool:
    if method == b'HEAD' or status in BODILESS_STATUSES:
        return True
    names = {name.lower() for name, _ in headers}
    return b'content-length' in names or b'transfer-encoding' in names
