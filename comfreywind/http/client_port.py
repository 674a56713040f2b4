"""What the clients of one port take up, and the refusal of those beyond its share."""

import logging
from collections.abc import Callable, Iterator
from typing import Protocol

from comfreywind.decisions.clients.client_activity import ClientActivity
from comfreywind.decisions.clients.client_budget import PortBudget
from comfreywind.decisions.clients.shed_order import choose_connections, choose_holders
from comfreywind.decisions.clients.time_limits import TimeLimits
from comfreywind.http.close_reason import CloseReason
from comfreywind.http.parsing_pace import ParsingPace
from comfreywind.http.refusal_count import RefusalCount

# More than one client is closed at a time, as each choice looks at all of them.
BATCH_RATIO = 1 / 16
# Connections that are being closed still have their descriptors.
CLOSING_RATIO = 1 / 4

log = logging.getLogger('comfreywind.clients')


class PortClient(Protocol):
    """A connection as its port sees it."""

    def describe(self, held_bytes: int) -> ClientActivity:
        """Return what the client has done so far; `held_bytes` were granted to it."""

    def close_for(self, reason: CloseReason) -> None:
        """Close the connection soon; this returns at once."""


class ClientPort:
    """Grants connections and bytes of one port, and closes clients to make place for others.

    An unexpected error refuses the client that asked, and is logged.
    """

    def __init__(
        self,
        name: str,
        budget: PortBudget,
        times: TimeLimits,
        refusals: RefusalCount,
        pace: ParsingPace | None = None,
    ) -> None:
        """Start without clients; the pace is shared with other ports."""
        self.pace = pace or ParsingPace()
        self._name = name
        self._budget = budget
        self._times = times
        self._refusals = refusals
        self._held_bytes: dict[PortClient, int] = {}
        self._closing: set[PortClient] = set()
        self._total_bytes = 0
        self._admitted = 0

    @property
    def connections(self) -> int:
        """The number of connections that are open."""
        return len(self._held_bytes) + len(self._closing)

    @property
    def total_bytes(self) -> int:
        """The bytes that all clients together hold."""
        return self._total_bytes

    def admit(self) -> bool:
        """Return whether to accept a connection, and count it until `leave`.

        The connections that are being closed or refused need descriptors as well.
        """
        if self._admitted >= self._budget.connections * (1 + CLOSING_RATIO):
            self._refusals.add(self._name, CloseReason.CONNECTIONS)
            return False
        self._admitted += 1
        return True

    def leave(self) -> None:
        """Count the end of a connection that was accepted."""
        self._admitted -= 1

    def open(self, client: PortClient) -> bool:
        """Return whether to serve a new client; close others for it if need be."""
        granted = self._try_safely(self._make_place)
        if granted:
            self._held_bytes[client] = 0
        else:
            self._closing.add(client)
            self._refusals.add(self._name, CloseReason.CONNECTIONS)
        return granted

    def close(self, client: PortClient) -> None:
        """Note the end of a connection."""
        self._total_bytes -= self._held_bytes.pop(client, 0)
        self._closing.discard(client)

    def grant(self, client: PortClient, size_bytes: int) -> bool:
        """Return whether the client may take up more bytes; close others for it if need be.

        A client that may not is closed as well.
        """
        if client not in self._held_bytes:
            return False
        granted = self._try_safely(lambda: self._free_bytes(size_bytes))
        if client not in self._held_bytes:
            return False
        if not granted:
            self._close([client], CloseReason.MEMORY)
            return False
        self.settle(client, self._held_bytes[client] + size_bytes)
        return True

    def settle(self, client: PortClient, held_bytes: int) -> None:
        """Note what the client really takes up at present."""
        before_bytes = self._held_bytes.get(client)
        if before_bytes is not None:
            self._total_bytes += held_bytes - before_bytes
            self._held_bytes[client] = held_bytes

    def refuse(self, client: PortClient, reason: CloseReason) -> None:
        """Close a client that has exceeded a limit of its own connection."""
        if client in self._held_bytes:
            self._close([client], reason)

    def note_error(self, error: Exception) -> None:
        """Note an unexpected error that has cost one connection."""
        self._refusals.add_error(self._name, error)

    def close_overdue(self) -> None:
        """Close all clients that have exceeded a time limit."""
        overdue = [
            client for client, activity in self._describe_all() if self._times.is_exceeded(activity)
        ]
        self._close(overdue, CloseReason.TIME)

    def _make_place(self) -> bool:
        limit = self._budget.connections
        if len(self._closing) > limit * CLOSING_RATIO:
            return False
        if len(self._held_bytes) >= limit:
            count = max(1, int(limit * BATCH_RATIO))
            self._close(choose_connections(self._describe_all(), count), CloseReason.CONNECTIONS)
        return len(self._held_bytes) < limit

    def _free_bytes(self, size_bytes: int) -> bool:
        limit_bytes = self._budget.held_bytes
        excess_bytes = self._total_bytes + size_bytes - limit_bytes
        if excess_bytes > 0:
            clients = list(self._describe_all())
            ample_bytes = excess_bytes + int(limit_bytes * BATCH_RATIO)
            chosen = choose_holders(clients, ample_bytes) or choose_holders(clients, excess_bytes)
            self._close(chosen, CloseReason.MEMORY)
        return self._total_bytes + size_bytes <= limit_bytes

    def _describe_all(self) -> Iterator[tuple[PortClient, ClientActivity]]:
        return ((client, client.describe(held)) for client, held in self._held_bytes.items())

    def _close(self, clients: list[PortClient], reason: CloseReason) -> None:
        for client in clients:
            self._total_bytes -= self._held_bytes.pop(client)
            self._closing.add(client)
            self._refusals.add(self._name, reason)
            client.close_for(reason)

    def _try_safely(self, decide: Callable[[], bool]) -> bool:
        try:
            return decide()
        except Exception as error:
            self.note_error(error)
            return False


class OpenPort:
    """A port that grants everything."""

    def __init__(self) -> None:
        """Start without clients."""
        self.pace = ParsingPace()

    def admit(self) -> bool:
        """Return True."""
        return True

    def leave(self) -> None:
        """Do nothing."""

    def open(self, client: PortClient) -> bool:
        """Return True."""
        return True

    def close(self, client: PortClient) -> None:
        """Do nothing."""

    def grant(self, client: PortClient, size_bytes: int) -> bool:
        """Return True."""
        return True

    def settle(self, client: PortClient, held_bytes: int) -> None:
        """Do nothing."""

    def refuse(self, client: PortClient, reason: CloseReason) -> None:
        """Do nothing."""

    def note_error(self, error: Exception) -> None:
        """Log an unexpected error that has cost one connection."""
        log.error('unexpected error in serving a client', exc_info=error)
