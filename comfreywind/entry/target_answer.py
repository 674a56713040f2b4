"""The HTTP response of a target."""

from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass
from typing import Any

import httpcore

from comfreywind.decisions.refusal import Outcome
from comfreywind.entry.header_rules import find_header
from comfreywind.entry.target_work import TargetExchange
from comfreywind.http.asgi_types import HeaderList

STATUS_UNAVAILABLE = 503
MIN_SERVER_ERROR = 500
BODILESS_STATUSES = frozenset((204, 304))
MAX_INFORMATIONAL = 199


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """Status, headers and the beginning of the body; `head` is the whole body if `complete`."""

    status: int
    headers: HeaderList
    head: bytes
    complete: bool
    chunks: AsyncGenerator[bytes, None]
    exchange: TargetExchange

    async def discard(self) -> None:
        """Abort the exchange without reading the rest of the body."""
        await self.chunks.aclose()
        self.exchange.end()

    def reports_not_run(self) -> bool:
        """Return whether the target reports that it has not run the request."""
        if self.status != STATUS_UNAVAILABLE or not self.complete:
            return False
        return find_header(self.headers, b'comfreywind-outcome') == Outcome.NOT_RUN.value

    def is_error(self) -> bool:
        """Return whether the target answered with a server error (5xx)."""
        return self.status >= MIN_SERVER_ERROR


async def read_answer(
    request: httpcore.Request, exchange: TargetExchange, buffer_limit_bytes: int
) -> TargetAnswer:
    """Send the request and return the answer, with its body buffered up to the limit.

    Raises httpcore errors if the exchange fails. A body that is delimited by the end of the
    connection is an error, because a truncated one would look complete (RFC 9112 section 8).
    """
    response = await exchange.connection.send(request)
    headers = list(response.headers)
    if response.status <= MAX_INFORMATIONAL:
        raise httpcore.RemoteProtocolError(f'unexpected informational status {response.status}')
    if not _has_delimited_body(request.method, response.status, headers):
        raise httpcore.RemoteProtocolError(
            'the response has neither Content-Length nor Transfer-Encoding'
        )
    # httpcore declares only an iterable, but the object can be closed and iterates by a generator.
    body: Any = response.stream
    chunks: AsyncGenerator[bytes, None] = aiter(body)
    head, complete = await _read_head(chunks, buffer_limit_bytes)
    answer = TargetAnswer(response.status, headers, head, complete, chunks, exchange)
    if complete:
        await body.aclose()
        exchange.end(complete=True, keeps_placement=answer.reports_not_run())
    return answer


async def _read_head(chunks: AsyncIterator[bytes], limit_bytes: int) -> tuple[bytes, bool]:
    """Return the chunks until they exceed the limit, and whether the body is complete."""
    parts: list[bytes] = []
    size_bytes = 0
    async for chunk in chunks:
        parts.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            return b''.join(parts), False
    return b''.join(parts), True


def _has_delimited_body(method: bytes, status: int, headers: HeaderList) -> bool:
    if method == b'HEAD' or status in BODILESS_STATUSES:
        return True
    names = {name.lower() for name, _ in headers}
    return b'content-length' in names or b'transfer-encoding' in names
