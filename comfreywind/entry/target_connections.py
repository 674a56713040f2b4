"""Connection pool of this entry for one target."""

from collections import deque

import httpcore
import trio

from comfreywind.clock import Clock
from comfreywind.entry.target_connection import TargetConnection
from comfreywind.entry.target_stream import TargetStream
from comfreywind.errors import ComfreywindError
from comfreywind.platform.vm_entry import VmEntry

# Idle connections are closed after this time.
KEEP_ALIVE_S = 5


class TargetUnreachableError(ComfreywindError):
    """Raised when no connection could be opened; no byte of the request was sent."""


class TargetConnections:
    """Pool of connections; the one that became idle last is reused first.

    The generation increases each time the idle connections are retired. Connections of an earlier
    generation are closed instead of being kept.
    """

    def __init__(self, target: VmEntry, connect_timeout_s: float, clock: Clock) -> None:
        """Start without connections."""
        self.target = target
        self._connect_timeout_s = connect_timeout_s
        self._clock = clock
        self._origin = httpcore.Origin(b'http', target.address.host.encode(), target.address.port)
        self._idle: deque[TargetConnection] = deque()
        self._waiting_tasks = trio.lowlevel.ParkingLot()
        self._generation = 0
        self._answered_generation = 0
        self._open_count = 0

    async def acquire(self, limit: int, fresh: bool = False) -> TargetConnection:
        """Return a connection, a new one if `fresh`; wait while `limit` connections are in use.

        Raises TargetUnreachableError if a new connection cannot be opened.
        """
        while True:
            connection = None if fresh else self._pop_idle()
            if connection is not None:
                connection.reused = True
                return connection
            if self._open_count >= limit and fresh and self._idle:
                self.close(self._idle.popleft())
            if self._open_count < limit:
                return await self._open()
            await self._waiting_tasks.park()

    def record_answer(self, connection: TargetConnection) -> None:
        """Record that a complete answer arrived over the connection."""
        self._answered_generation = max(self._answered_generation, connection.generation)

    def is_proven_silent(self, connection: TargetConnection) -> bool:
        """Return whether a connection of a later generation has received an answer.

        The target then works, so that the silence of this connection is due to the connection.
        """
        return connection.reused and connection.generation < self._answered_generation

    def add_idle(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after its exchange is complete."""
        if connection.generation < self._generation:
            self.close(connection)
            return
        connection.idle_since_s = self._clock.read_monotonic_s()
        self._idle.append(connection)
        self._waiting_tasks.unpark()

    def close(self, connection: TargetConnection) -> None:
        """Close a connection and let another one be opened."""
        connection.stream.close()
        self._open_count -= 1
        self._waiting_tasks.unpark()

    def retire_silent(self, silent: TargetConnection) -> None:
        """Retire the generation of a silent connection and earlier ones."""
        if silent.generation < self._generation:
            return
        self.retire_all()

    def retire_all(self) -> None:
        """Close the idle connections now and those in use when their exchange ends."""
        self._generation += 1
        self.close_idle()

    def close_idle(self, older_than_s: float = 0) -> None:
        """Close the connections that have been idle for at least `older_than_s` seconds."""
        idle_since_s = self._clock.read_monotonic_s() - older_than_s
        while self._idle and self._idle[0].idle_since_s <= idle_since_s:
            self.close(self._idle.popleft())

    def _pop_idle(self) -> TargetConnection | None:
        oldest_s = self._clock.read_monotonic_s() - KEEP_ALIVE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since_s >= oldest_s and connection.stream.is_usable():
                return connection
            self.close(connection)
        return None

    async def _open(self) -> TargetConnection:
        self._open_count += 1
        address = self.target.address
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as error:
            self._release_open_slot()
            raise TargetUnreachableError(
                f'cannot connect to target {address}: {error!r}'
            ) from error
        except trio.Cancelled:
            self._release_open_slot()
            raise
        return TargetConnection(TargetStream(stream), self._origin, self._generation)

    def _release_open_slot(self) -> None:
        self._open_count -= 1
        self._waiting_tasks.unpark()
