"""Answers an `ExplainQuery`."""

from dataclasses import dataclass
from typing import Any

from comfreywind.peers.peer_message import PeerMessage


@dataclass(frozen=True, slots=True)
class ExplainReply(PeerMessage):
    """The newest decisions about the subject as JSON documents, oldest first."""

    query_id: str
    records: tuple[dict[str, Any], ...] = ()
