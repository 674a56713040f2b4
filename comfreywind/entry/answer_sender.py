"""Streams the answer of a target to the caller."""

from contextlib import aclosing

import trio

from comfreywind.decisions.refusal import Outcome
from comfreywind.entry.header_rules import list_headers, select_answer_headers
from comfreywind.entry.target_answer import BODILESS_STATUSES, TargetAnswer
from comfreywind.entry.target_call import EXCHANGE_ERRORS
from comfreywind.http.asgi_types import HeaderList, Send

# Chunks that are read from the target before the caller has received them.
CHUNK_BUFFER_LIMIT = 4
STATUS_NO_CONTENT = 204


class AnswerCutError(Exception):
    """Raised when the answer is truncated after its headers were sent to the caller.

    The caller's connection must be closed without the end of the body, so that the answer does not
    look complete.
    """


async def send_answer(
    answer: TargetAnswer, method: str, request_id: str, time_left_s: float, send: Send
) -> None:
    """Send the whole answer; raise AnswerCutError if it is truncated or takes too long."""
    headers = [
        *select_answer_headers(answer.headers),
        *_make_length_headers(answer, method),
        (b'x-request-id', request_id.encode()),
        (b'comfreywind-outcome', Outcome.ANSWERED.value.encode()),
    ]
    await send({'type': 'http.response.start', 'status': answer.status, 'headers': headers})
    await send(
        {'type': 'http.response.body', 'body': answer.head, 'more_body': not answer.complete}
    )
    if not answer.complete:
        await _send_rest(answer, time_left_s, send)


async def _send_rest(answer: TargetAnswer, time_left_s: float, send: Send) -> None:
    """Read and send the rest of the body in separate tasks.

    A caller that stops reading blocks the sending task, which can't be cancelled. The reading task
    still ends at the deadline and frees the slot at the target.
    """
    send_chunk, receive_chunk = trio.open_memory_channel[bytes](CHUNK_BUFFER_LIMIT)
    reader = _AnswerReader(answer, send_chunk, time_left_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.run)
        async for chunk in receive_chunk:
            await send({'type': 'http.response.body', 'body': chunk, 'more_body': True})
    if not reader.complete:
        raise AnswerCutError('the answer of the target was truncated or exceeded its time limit')
    await send({'type': 'http.response.body', 'body': b''})


class _AnswerReader:
    def __init__(
        self, answer: TargetAnswer, send_chunk: trio.MemorySendChannel[bytes], time_left_s: float
    ) -> None:
        self._answer = answer
        self._send_chunk = send_chunk
        self._time_left_s = time_left_s
        self.complete = False

    async def run(self) -> None:
        """Read the rest of the body until its end, an error or the time limit."""
        try:
            with trio.move_on_after(self._time_left_s), self._send_chunk:
                await self._read()
        except EXCHANGE_ERRORS:
            return
        finally:
            self._answer.exchange.end(complete=self.complete)

    async def _read(self) -> None:
        async with aclosing(self._answer.chunks) as chunks:
            async for chunk in chunks:
                await self._send_chunk.send(chunk)
        self.complete = True


def _make_length_headers(answer: TargetAnswer, method: str) -> HeaderList:
    stated = [(b'content-length', text.encode()) for text in _get_stated_lengths(answer)]
    if answer.status == STATUS_NO_CONTENT:
        return []
    if not answer.complete or method == 'HEAD' or answer.status in BODILESS_STATUSES:
        return stated
    return [(b'content-length', str(len(answer.head)).encode())]


def _get_stated_lengths(answer: TargetAnswer) -> list[str]:
    return list_headers(answer.headers, b'content-length')[:1]
