"""Asks and answers questions between entries about claims."""

import uuid
from collections.abc import Callable

import trio

from comfreywind.decisions.claim import ClaimRow
from comfreywind.decisions.refusal import Outcome
from comfreywind.peers.messages.claim_query import ClaimQuery
from comfreywind.peers.messages.claim_reply import ClaimReply
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity

REPLY_TIMEOUT_S = 0.5


class ClaimAsker:
    """Exchanges `ClaimQuery` and `ClaimReply`; an owner that doesn't answer knows nothing."""

    def __init__(self, hub: PeerHub, get_outcome: Callable[[str], Outcome | None]) -> None:
        """Answer queries with `get_outcome`, which takes a claim id."""
        self._hub = hub
        self._find_outcome = get_outcome
        self._replies: dict[str, trio.MemorySendChannel[str]] = {}
        hub.subscribe(ClaimQuery, self._answer)
        hub.subscribe(ClaimReply, self._take_reply)

    async def ask(self, row: ClaimRow) -> Outcome | None:
        """Return the outcome that the owner of the row knows, or None."""
        query_id = uuid.uuid4().hex
        send_reply, receive_reply = trio.open_memory_channel[str](1)
        self._replies[query_id] = send_reply
        try:
            return await self._exchange(row, ClaimQuery(query_id, row.claim_id), receive_reply)
        finally:
            del self._replies[query_id]

    async def _exchange(
        self, row: ClaimRow, query: ClaimQuery, receive_reply: trio.MemoryReceiveChannel[str]
    ) -> Outcome | None:
        text = ''
        if self._hub.send(row.entry, query):
            with trio.move_on_after(REPLY_TIMEOUT_S):
                text = await receive_reply.receive()
        return _parse_outcome(text)

    def _answer(self, sender: PeerIdentity, query: ClaimQuery) -> None:
        outcome = self._find_outcome(query.claim_id)
        text = '' if outcome is None else outcome.value
        self._hub.send(sender.name, ClaimReply(query.query_id, text))

    def _take_reply(self, sender: PeerIdentity, reply: ClaimReply) -> None:
        send_reply = self._replies.get(reply.query_id)
        if send_reply is not None:
            send_reply.send_nowait(reply.outcome)


def _parse_outcome(text: str) -> Outcome | None:
    known = {outcome.value: outcome for outcome in Outcome}
    return known.get(text)
