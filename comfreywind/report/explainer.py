"""Collects the recorded decisions about a subject."""

import uuid
from typing import Any

import trio

from comfreywind.errors import PlatformError
from comfreywind.peers.messages.explain_query import ExplainQuery
from comfreywind.peers.messages.explain_reply import ExplainReply
from comfreywind.peers.peer_hub import PeerHub
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.report.decision_log import DecisionLog
from comfreywind.report.decision_store import DecisionStore

PEER_TIMEOUT_S = 1
# Keeps a reply far below the frame limit of 1 MiB.
REPLY_LIMIT_RECORDS = 500


class Explainer:
    """Merges the decisions of this process, of its peers and of the object store."""

    def __init__(
        self, entry: str, decisions: DecisionLog, store: DecisionStore, hub: PeerHub
    ) -> None:
        """Subscribe to queries and replies of peers."""
        self._entry = entry
        self._decisions = decisions
        self._store = store
        self._hub = hub
        self._replies: dict[str, trio.MemorySendChannel[ExplainReply]] = {}
        hub.subscribe(ExplainQuery, self._receive_query)
        hub.subscribe(ExplainReply, self._receive_reply)

    async def explain(self, kind: str, name: str) -> dict[str, Any]:
        """Return the decisions about the subject, oldest first, without duplicates.

        `complete` is false when a peer did not reply or an object could not be read.
        """
        subject = f'{kind}/{name}'
        peer_records, peers_complete = await self._query_peers(subject)
        stored_records, store_complete = await self._read_store(subject)
        records = [*self._list_own_records(subject), *peer_records, *stored_records]
        unique = {_make_sort_key(record): record for record in records}
        return {
            'subject': subject,
            'complete': peers_complete and store_complete,
            'records': sorted(unique.values(), key=_make_sort_key),
        }

    def _list_own_records(self, subject: str) -> list[dict[str, Any]]:
        return [record.to_document(self._entry) for record in self._decisions.find(subject)]

    async def _read_store(self, subject: str) -> tuple[list[dict[str, Any]], bool]:
        try:
            return await self._store.find(subject)
        except PlatformError:
            return [], False

    async def _query_peers(self, subject: str) -> tuple[list[dict[str, Any]], bool]:
        query = ExplainQuery(uuid.uuid4().hex, subject)
        sent_count = sum(self._hub.send(peer.name, query) for peer in self._hub.list_alive())
        send_channel, receive_channel = trio.open_memory_channel[ExplainReply](sent_count)
        self._replies[query.query_id] = send_channel
        records: list[dict[str, Any]] = []
        reply_count = 0
        with trio.move_on_after(PEER_TIMEOUT_S):
            while reply_count < sent_count:
                reply = await receive_channel.receive()
                records.extend(reply.records)
                reply_count += 1
        self._replies.pop(query.query_id)
        return records, reply_count == sent_count

    def _receive_query(self, sender: PeerIdentity, query: ExplainQuery) -> None:
        records = self._list_own_records(query.subject)[-REPLY_LIMIT_RECORDS:]
        self._hub.send(sender.name, ExplainReply(query.query_id, tuple(records)))

    def _receive_reply(self, sender: PeerIdentity, reply: ExplainReply) -> None:
        channel = self._replies.get(reply.query_id)
        if channel is None:
            return
        try:
            channel.send_nowait(reply)
        except trio.WouldBlock:
            return


def _make_sort_key(record: dict[str, Any]) -> tuple[str, ...]:
    return (
        record['at'],
        record['entry'],
        record['kind'],
        record['cause'],
        str(sorted(record['inputs'].items())),
    )
