"""Hypercorn's protocol of one connection, limited to HTTP/1.1."""

from collections.abc import Callable
from typing import Any

import h11
from hypercorn.protocol.h11 import H11Protocol

from comfreywind.http.limited_connection import LimitedConnection


class LimitedProtocol(H11Protocol):
    """HTTP/1.1 with the limits of our parser.

    A client can't change to HTTP/2: its streams would share one connection, and the limits count
    connections.
    """

    def __init__(self, note_request: Callable[[], None], *arguments: Any) -> None:
        """Serve a connection; all arguments but the first are those of hypercorn."""
        super().__init__(*arguments)
        self.parser = LimitedConnection(note_request)
        self.connection = self.parser

    async def _check_protocol(self, event: h11.Request) -> None:
        """Ignore offers of other protocols, as RFC 9110 allows."""
