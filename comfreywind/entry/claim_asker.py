"""Exchanges the outcomes of claimed requests between entries."""

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


class ClaimOutcomeExchange:
    """Sends `ClaimQuery` to the owners of claims and answers the queries of other entries.

    A query without a reply within `REPLY_TIMEOUT_S` counts as an unknown outcome.
    """

    def __init__(self, hub: PeerHub, get_outcome: Callable[[str], Outcome | None]) -> None:
        """Subscribe to both messages; `get_outcome` maps a claim id to its outcome here."""
        self._hub = hub
        self._get_outcome = get_outcome
        self._replies: dict[str, trio.MemorySendChannel[str]] = {}
        hub.subscribe(ClaimQuery, self._receive_query)
        hub.subscribe(ClaimReply, self._receive_reply)

    async def query_outcome(self, row: ClaimRow) -> Outcome | None:
        """Return the outcome known to the entry that owns the claim, or None if it is unknown."""
        query_id = uuid.uuid4().hex
        send_reply, receive_reply = trio.open_memory_channel[str](1)
        self._replies[query_id] = send_reply
        try:
            return await self._send_query(row, ClaimQuery(query_id, row.claim_id), receive_reply)
        finally:
            del self._replies[query_id]

    async def _send_query(
        self, row: ClaimRow, query: ClaimQuery, receive_reply: trio.MemoryReceiveChannel[str]
    ) -> Outcome | None:
        text = ''
        if self._hub.send(row.entry, query):
            with trio.move_on_after(REPLY_TIMEOUT_S):
                text = await receive_reply.receive()
        return _parse_outcome(text)

    def _receive_query(self, sender: PeerIdentity, query: ClaimQuery) -> None:
        outcome = self._get_outcome(query.claim_id)
        text = '' if outcome is None else outcome.value
        self._hub.send(sender.name, ClaimReply(query.query_id, text))

    def _receive_reply(self, sender: PeerIdentity, reply: ClaimReply) -> None:
        send_reply = self._replies.get(reply.query_id)
        if send_reply is not None:
            send_reply.send_nowait(reply.outcome)


def _parse_outcome(text: str) -> Outcome | None:
    outcomes_by_text = {outcome.value: outcome for outcome in Outcome}
    return outcomes_by_text.get(text)
